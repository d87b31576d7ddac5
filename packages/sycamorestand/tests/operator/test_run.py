from __future__ import annotations

from collections.abc import Callable
import json
from pathlib import Path
import socket
import subprocess
import sys
from typing import Any

import pytest

from sycamorestand.operator.settings import SETTINGS
from sycamorestand_model.keys import key_matches

Command = Callable[..., Any]

EXAMPLES = Path(__file__).parents[4] / "examples"
KEY = "the-operators-secret"
QUERIES = {
    ("status",): "leader v1",
    ("nodes",): "no-lease",
    ("backends",): "leaving",
    ("room", "stock"): "stock",
    ("audit",): "ben",
    ("bills",): "cheap@1",
    ("rollout", "status"): "running",
    ("explain", "cheap@1"): "withdrawn in revision 4",
}


class TestCheck:
    @pytest.mark.parametrize("name", ["guild", "authority"])
    def test_example_folders_have_no_findings(self, name: str) -> None:
        command = [str(Path(sys.executable).parent / "sycactl"), "check"]
        ended = subprocess.run(
            [*command, str(EXAMPLES / name)], capture_output=True, text=True
        )
        assert ended.returncode == 0
        assert ended.stdout == "0 errors, 0 warnings\n"

    def test_every_finding_is_printed_with_its_place(
        self, sycactl: Command, folder: Path
    ) -> None:
        (folder / "more.toml").write_text("[services.a]\nb = 1\n[x]\ny = 1")
        ended = sycactl("check", folder)
        assert ended.code == 3
        assert "more.toml: services.a.b: unknown field" in ended.out
        assert "more.toml: x: unknown section" in ended.out
        answer = json.loads(sycactl("check", folder, "--json").out)
        assert answer["errors"] == 2
        assert answer["findings"][0]["file"] == "more.toml"

    def test_warnings_and_differences_come_in_one_command(
        self, online: Command, folder: Path, state: Any
    ) -> None:
        (folder / "more.toml").write_text("[services.more]")
        assert online("check", folder).code == 0
        ended = online("check", folder, "--against-in-force")
        assert ended.code == 0
        findings, count, *plan = ended.out.splitlines()
        assert findings.startswith("warning: more.toml: services.more: no")
        assert count == "0 errors, 1 warnings"
        assert plan == online("plan", folder).out.splitlines()
        shown = online("check", folder, "--against-in-force", "--json").out
        answer = json.loads(shown)
        assert (answer["warnings"], answer["plan"]["revision"]) == (1, 5)
        assert state.changes == []

    def test_findings_are_printed_when_no_difference_can_be(
        self, sycactl: Command, folder: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guard against findings lost with the control processes."""
        monkeypatch.setenv("SYCACTL_CONTROLS", "127.0.0.1:1")
        monkeypatch.setenv("SYCACTL_PATIENCE_S", "0.2")
        command = ("check", folder, "--against-in-force")
        ended = sycactl(*command)
        assert (ended.code, ended.out) == (6, "0 errors, 0 warnings\n")
        (folder / "more.toml").write_text("[services.a]\nb = 1")
        ended = sycactl(*command)
        assert (ended.code, ended.err) == (3, "")
        assert "1 errors, 0 warnings" in ended.out


class TestKeys:
    def test_new_key_is_written_only_to_a_private_file(
        self, sycactl: Command, tmp_path: Path
    ) -> None:
        path = tmp_path / "new"
        ended = sycactl("new-key", path)
        key = path.read_text().strip()
        assert path.stat().st_mode & 0o777 == 0o600
        assert key_matches(key, ended.out.strip())
        assert key not in ended.out + ended.err
        assert sycactl("new-key", path).code == 2

    def test_hash_key_reads_the_key_from_stdin(self) -> None:
        command = [str(Path(sys.executable).parent / "sycactl"), "hash-key"]
        ended = subprocess.run(
            command, input=f"{KEY}\n", capture_output=True, text=True
        )
        assert key_matches(KEY, ended.stdout.strip())
        assert KEY not in ended.stdout + ended.stderr


class TestSettings:
    def test_help_shows_both_names_of_every_setting(
        self, sycactl: Command
    ) -> None:
        for arguments in (["--help"], ["apply", "--help"], []):
            ended = sycactl(*arguments)
            assert ended.code == 0
            for setting in SETTINGS:
                assert f"{setting.flag}, {setting.variable}" in ended.out

    @pytest.mark.parametrize(
        "arguments",
        [
            ["status", "--controls", "nowhere"],
            ["status", "--controls", ""],
            ["status", "--controls", "ftp://a:1"],
            ["status", "--attempt-s", "0"],
            ["status", "--attempt-s", "nan"],
            ["status", "--attempt-s"],
            ["status", "--key-file", "/none"],
            ["status", "--key-file", "/dev/null"],
            ["status", "--ca-file", "/none"],
            ["status", "--json=maybe"],
            ["status", "more"],
            ["statu"],
            ["apply", ".", "--change-id", "c-1"],
        ],
    )
    def test_wrong_arguments_exit_with_the_usage_code(
        self, sycactl: Command, arguments: list[str]
    ) -> None:
        ended = sycactl(*arguments)
        assert ended.code == 2
        assert ended.err

    def test_unknown_variable_is_refused(
        self, sycactl: Command, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setenv("SYCACTL_CONTROL", "127.0.0.1:1")
        ended = sycactl("status")
        assert ended.code == 2
        assert "SYCACTL_CONTROL" in ended.err


class TestQueries:
    @pytest.mark.parametrize("arguments", QUERIES)
    def test_answers_are_tables_or_json(
        self, online: Command, arguments: tuple[str, ...]
    ) -> None:
        ended = online(*arguments)
        assert ended.code == 0
        assert QUERIES[arguments] in ended.out
        assert json.loads(online(*arguments, "--json").out)

    def test_control_characters_are_not_printed(self, online: Command) -> None:
        ended = online("audit")
        assert "\x1b" not in ended.out
        assert "[red]" in ended.out

    def test_csv_holds_every_page_and_escapes_formulas(
        self, online: Command
    ) -> None:
        lines = online("bills", "--csv").out.splitlines()
        assert lines[0].startswith("sequence,at_s,customer,request_key")
        assert len(lines) == 4
        assert lines[1].split(",")[3] == "'=1"

    def test_closed_pipe_causes_no_traceback(self, folder: Path) -> None:
        """The reader closes the pipe at once, as ``| head -0`` does."""
        command = [str(Path(sys.executable).parent / "sycactl"), "check"]
        running = subprocess.Popen(
            [*command, str(folder)],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        assert running.stdout is not None
        running.stdout.close()
        _, err = running.communicate()
        assert err == b""
        assert running.returncode == 1


class TestChanges:
    def test_plan_and_apply_until_in_force(
        self, online: Command, folder: Path, state: Any
    ) -> None:
        shown = online("plan", folder)
        assert "added models.nest-large" in shown.out
        assert "differences to revision 5" in shown.out
        ended = online(
            "apply", folder, "--wait", "--base-revision", 5, "--message", "go"
        )
        assert ended.code == 0
        assert ended.out == "accepted, revision 6\n"
        assert "waiting for vm-3" in ended.err
        assert "in force everywhere" in ended.err
        assert (state.changes[0].operator, state.changes[0].message) == (
            "ann",
            "go",
        )
        assert "0 differences" in online("plan", folder).out

    def test_folder_with_errors_is_not_sent(
        self, online: Command, folder: Path, state: Any
    ) -> None:
        (folder / "more.toml").write_text("[services.a]\nb = 1")
        assert online("apply", folder).code == 3
        assert state.changes == []

    def test_conflict_names_the_other_change(
        self, online: Command, folder: Path
    ) -> None:
        ended = online("apply", folder, "--base-revision", 4)
        assert ended.code == 4
        assert "revision 5 by ben: apply" in ended.out

    @pytest.mark.parametrize(
        "arguments",
        [
            ["withdraw", "cheap@1", "--wait"],
            ["reinstate", "cheap@1"],
            ["quarantine", "cheap@1"],
            ["lift-quarantine", "cheap@1"],
            ["release-part", "a1b2"],
            ["rollout", "start", "cheap"],
            ["rollout", "stop", "cheap"],
            ["drain", "vm-1"],
            ["undrain", "vm-1"],
            ["drain-data-centre", "marietta"],
            ["undrain-data-centre", "marietta"],
            ["rotate-session-key"],
            ["transfer-leadership"],
        ],
    )
    def test_every_change_command_succeeds(
        self, online: Command, arguments: list[str]
    ) -> None:
        assert online(*arguments).code == 0

    @pytest.mark.parametrize(
        "arguments",
        [
            ["withdraw", "none@1"],
            ["withdraw", "cheap"],
            ["replace-voter", "v1", "v4"],
            ["audit", "--limit", "5000"],
        ],
    )
    def test_refusal_exits_with_the_refused_code(
        self, online: Command, arguments: list[str]
    ) -> None:
        ended = online(*arguments)
        assert ended.code == 5
        assert ended.out or ended.err

    def test_wrong_key_is_refused_and_never_printed(
        self, online: Command, tmp_path: Path
    ) -> None:
        (tmp_path / "key").write_text("wrong-secret")
        ended = online("status")
        assert ended.code == 5
        assert "wrong-secret" not in ended.out + ended.err

    def test_wait_timeout_exits_with_its_own_code(
        self, impatient: Command, servers: Any
    ) -> None:
        """A VM is behind a network partition and its lease is still valid.

        The change is accepted, so its outcome is printed. The exit code and
        stderr report that it is not in force everywhere yet.
        """
        for server in servers:
            server.control.fault = "never in force"
        ended = impatient("withdraw", "cheap@1", "--wait", "--json")
        assert ended.code == 8
        assert json.loads(ended.out)["outcome"] == "accepted"
        assert "waiting for vm-9" in ended.err


class TestFailures:
    @pytest.mark.parametrize("fault", ["answer lost", "garbage"])
    def test_change_with_a_lost_answer_is_resent_to_the_next_process(
        self, impatient: Command, servers: Any, state: Any, fault: str
    ) -> None:
        """The first control process commits a change, but its answer is lost.

        The client sends the change with the same id to the second one,
        which returns the first outcome. The change is applied once.
        """
        servers[0].control.fault = fault
        ended = impatient("withdraw", "cheap@1")
        assert ended.code == 0
        assert ended.out == "duplicate, revision 6\n"
        assert len(state.changes) == 1

    def test_process_without_a_leader_is_passed_over(
        self, impatient: Command, servers: Any
    ) -> None:
        """The first control process is partitioned and knows no leader.

        It refuses the change without running it, and the second accepts it.
        """
        servers[0].control.has_leader = False
        ended = impatient("withdraw", "cheap@1")
        assert ended.code == 0
        assert "no-leader" in ended.err

    def test_no_leader_anywhere_exits_as_unreachable(
        self, impatient: Command, servers: Any
    ) -> None:
        for server in servers:
            server.control.has_leader = False
        assert impatient("withdraw", "cheap@1").code == 6

    def test_query_is_answered_despite_a_silent_process(
        self, impatient: Command, servers: Any
    ) -> None:
        servers[0].control.fault = "silent"
        ended = impatient("status")
        assert ended.code == 0
        assert "silent" in ended.err

    def test_lost_answers_everywhere_leave_the_outcome_unknown(
        self, impatient: Command, servers: Any, state: Any, folder: Path
    ) -> None:
        """Both control processes may commit a change, but neither answers.

        Reporting that nothing was changed would be wrong. The message names
        the change id and the base revision. The same command with them,
        run later, returns the first outcome and changes nothing again.
        """
        for server in servers:
            server.control.fault = "answer lost"
        arguments = ["apply", folder, "--base-revision", 5]
        ended = impatient(*arguments)
        assert ended.code == 7
        hint = ended.err.partition("with --change-id ")[2].split()
        assert hint[1:3] == ["--base-revision", "5"]
        for server in servers:
            server.control.fault = ""
        again = impatient(*arguments, "--change-id", hint[0])
        assert again.code == 0
        assert again.out == "duplicate, revision 6\n"
        assert len(state.changes) == 1

    def test_refusal_after_a_lost_answer_leaves_the_outcome_unknown(
        self, impatient: Command, servers: Any
    ) -> None:
        """A change is committed without an answer, then the key is refused.

        The first control process commits the change and stays silent. The
        second one refuses the key, because its copy of the operators is old.
        The exit code for "refused" would claim that nothing was changed,
        which is unknown.
        """
        servers[0].control.fault = "answer lost"
        servers[1].control.fault = "knows no key"
        assert impatient("withdraw", "cheap@1").code == 7

    def test_patience_running_out_does_not_cancel_an_attempt(
        self, impatient: Command, servers: Any
    ) -> None:
        """The patience is shorter than one attempt.

        It runs out while the first control process works on the change and
        may have committed it, so the outcome is unknown. Cancelling the
        attempt would report that nothing was changed.
        """
        for server in servers:
            server.control.fault = "answer lost"
        ended = impatient("withdraw", "cheap@1", "--patience-s", "0.2")
        assert ended.code == 7

    def test_unreadable_answer_leaves_the_outcome_unknown(
        self, impatient: Command, servers: Any
    ) -> None:
        """A proxy answers a change with JSON of another format.

        That doesn't tell whether the change was committed.
        """
        servers[0].control.fault = "another format"
        ended = impatient("withdraw", "cheap@1", "--json")
        assert ended.code == 7
        assert json.loads(ended.out)["error"]["code"] == "unknown-outcome"

    def test_leader_lost_after_acceptance_keeps_the_change_accepted(
        self, impatient: Command, servers: Any
    ) -> None:
        """The leader is lost right after a change was accepted.

        No control process can tell whether the change is in force. The exit
        code must not be that of "unreachable", which means that nothing was
        changed.
        """
        for server in servers:
            server.control.fault = "in force unknown"
        ended = impatient("withdraw", "cheap@1", "--wait")
        assert ended.code == 8
        assert ended.out == "accepted, revision 6\n"

    def test_refused_connection_exits_as_unreachable(
        self, sycactl: Command, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{unused.getsockname()[1]}"
        monkeypatch.setenv("SYCACTL_PATIENCE_S", "0.1")
        ended = sycactl("withdraw", "a@1", "--controls", address, "--json")
        assert ended.code == 6
        assert json.loads(ended.out)["error"]["code"] == "unreachable"
