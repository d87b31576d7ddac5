"""Accepted changes are never lost, and concurrent changes conflict."""

from __future__ import annotations

from pathlib import Path
import shutil
from threading import Event

from sycamorestand_bench.system.calls import ANSWERED
from sycamorestand_bench.system.calls import chat
from sycamorestand_bench.system.calls import readiness
from sycamorestand_bench.system.calls import Reply
from sycamorestand_bench.system.changes import ChangeStream
from sycamorestand_bench.system.changes import send_change
from sycamorestand_bench.system.changes import SUBJECT
from sycamorestand_bench.system.operators import change
from sycamorestand_bench.system.operators import OPERATOR_KEY
from sycamorestand_bench.system.operators import sycactl
from sycamorestand_bench.system.system import CONTROLS
from sycamorestand_bench.system.system import ENTRIES
from sycamorestand_bench.system.system import System
from sycamorestand_bench.system.system import wait_for

CHANGES_BEFORE = 20
CHANGES = 60
CONFLICT = 4


class TestLostLeader:
    def test_no_accepted_change_is_lost(self, system: System) -> None:
        """The leader is killed in the middle of a stream of changes.

        Each change that was accepted before or after that must keep its
        revision and be in the audit trail once. Sending it again to any
        voter returns the first outcome.
        """
        base = system.status(CONTROLS[0])["revision"]
        stream = ChangeStream("lost", system.ports, base)
        with EntryMonitor(system) as monitor:
            leader = system.leader()
            sending = system.pool.submit(stream.send, CHANGES)
            wait_for(lambda: len(stream.accepted) >= CHANGES_BEFORE, "changes")
            system.cluster.kill(leader)
            sending.result()
        system.restart_control(leader)
        system.cluster.wait_ready(leader)

        revisions = [accepted.revision for accepted in stream.accepted]
        assert revisions == sorted(set(revisions))
        for number, accepted in enumerate(stream.accepted):
            port = system.ports[number % len(CONTROLS)]
            again = send_change(port, accepted.change)
            assert again.status == 200, (accepted, again)
            assert again.body["outcome"] == "duplicate"
            assert again.body["revision"] == accepted.revision
        for control in CONTROLS:
            ids = [entry["change_id"] for entry in system.audit(control)]
            for accepted in stream.accepted:
                assert ids.count(accepted.change.change_id) == 1

        for name in ENTRIES:
            seen = monitor.revisions[name]
            assert seen == sorted(seen), (name, seen)
            refused = [r for r in monitor.replies[name] if r.run != ANSWERED]
            assert monitor.replies[name]
            assert not refused, (name, refused, len(monitor.replies[name]))

    def test_resend_without_a_base_returns_the_first_outcome(
        self, system: System
    ) -> None:
        """A change sent again through another voter is the same change.

        The answer to a reinstatement is lost, and then another change is
        accepted. The client sends the reinstatement again with the same id
        and content, and must get its first revision, as a duplicate.
        """
        first, second, _ = system.ports
        assert change(first, "base-1", "withdraw", SUBJECT).status == 200
        sent = change(first, "base-2", "reinstate", SUBJECT)
        assert sent.status == 200, sent
        assert change(first, "base-3", "withdraw", SUBJECT).status == 200
        again = change(second, "base-2", "reinstate", SUBJECT)
        assert again.status == 200, again
        assert again.body["revision"] == sent.body["revision"]


class TestOperators:
    def test_one_of_two_applies_on_the_same_base_is_accepted(
        self, system: System
    ) -> None:
        """Two operators apply at once, both based on the same revision.

        They use two control processes. One apply is accepted. The other one
        is answered with a conflict that names the first operator and the
        change, and nothing of it takes effect.
        """
        base = system.status(system.leader())["revision"]
        prices = {"guild-admin": 111_111, "guild-ops": 222_222}
        keys = {"guild-admin": "demo-guild-admin", "guild-ops": OPERATOR_KEY}
        calls = {
            name: system.pool.submit(
                sycactl,
                system.folder,
                [system.ports[number]],
                "apply",
                str(_declare(system, name, prices[name])),
                "--base-revision",
                str(base),
                key=keys[name],
            )
            for number, name in enumerate(prices)
        }
        done = {name: call.result() for name, call in calls.items()}
        winners = [name for name in done if done[name].status == 0]
        assert len(winners) == 1, done
        (loser,) = set(done) - set(winners)
        assert done[loser].status == CONFLICT
        assert done[loser].answer["outcome"] == "conflict"
        (conflict,) = done[loser].answer["conflicts"]
        assert conflict["operator"] == winners[0]
        assert "nest-small" in conflict["summary"]
        applied = [
            entry
            for entry in system.audit(CONTROLS[0])
            if entry["revision"] > base and entry["outcome"] == "applied"
        ]
        assert [entry["operator"] for entry in applied] == winners
        model = system.fetch_declarations(CONTROLS[0])["models"]["nest-small"]
        for version in model["versions"].values():
            price = version["input_micros_per_mtoken"]
            assert price == prices[winners[0]]


class EntryMonitor:
    """Calls every entry repeatedly and records its replies and revisions."""

    def __init__(self, system: System) -> None:
        self.replies: dict[str, list[Reply]] = {n: [] for n in ENTRIES}
        self.revisions: dict[str, list[int]] = {n: [] for n in ENTRIES}
        self._system = system
        self._stop = Event()

    def __enter__(self) -> EntryMonitor:
        submit = self._system.pool.submit
        self._calls = [submit(self._poll, name) for name in ENTRIES]
        return self

    def __exit__(self, *error: object) -> None:
        self._stop.set()
        for call in self._calls:
            call.result()

    def _poll(self, name: str) -> None:
        address = self._system.entry(name)
        while not self._stop.is_set():
            key = f"watch-{name}-{len(self.replies[name])}"
            self.replies[name].append(chat(address, key))
            self.revisions[name].append(readiness(address)["revision"])


def _declare(system: System, operator: str, price: int) -> Path:
    folder = system.folder / f"declarations-{operator}"
    shutil.copytree(system.declarations, folder)
    model = folder / "models" / "nest-small.toml"
    text = model.read_text()
    model.write_text(
        text.replace(
            "input_micros_per_mtoken = 150_000",
            f"input_micros_per_mtoken = {price}",
        )
    )
    return folder
