"""An entry without a lease accepts no work under an old revision."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from signal import SIGCONT
from signal import SIGSTOP

from sycamorestand_bench.quickstart.caller import new_key
from sycamorestand_bench.system.calls import ANSWERED
from sycamorestand_bench.system.calls import begin_chat
from sycamorestand_bench.system.calls import chat
from sycamorestand_bench.system.calls import finish
from sycamorestand_bench.system.calls import is_whole
from sycamorestand_bench.system.calls import NOT_RUN
from sycamorestand_bench.system.calls import readiness
from sycamorestand_bench.system.calls import Reply
from sycamorestand_bench.system.operators import change
from sycamorestand_bench.system.operators import query
from sycamorestand_bench.system.system import CONTROLS
from sycamorestand_bench.system.system import System
from sycamorestand_bench.system.system import VICTIM
from sycamorestand_bench.system.system import wait_for

PARTITIONED = "entry-3"
WITHDRAWN = "nest-small@3"
QUEUED = 10
LONG_TOKENS = 1_600
CALLS_AFTER = 20


class TestSuspendedEntry:
    def test_withdrawn_version_gets_no_requests(self, system: System) -> None:
        """A version is withdrawn while an entry is suspended.

        The withdrawal is in force only once the entry's lease has expired.
        When the entry resumes, with requests in its socket queue, the old
        revision and no connection to control, it must run none of them. It
        catches up as soon as it can reach control again.
        """
        system.declare_fallback()
        address = system.entry(VICTIM)
        sessions = [f"held-{number}" for number in range(QUEUED)]
        for session in sessions:
            pinned = chat(address, f"pin-{session}", session=session)
            assert pinned.version == WITHDRAWN, pinned

        # A server that stays known to the entry. Without one, the entry could
        # refuse the requests for lack of a server.
        system.start_long_lease_engine(VICTIM, (WITHDRAWN,))
        system.cluster.send_signal(VICTIM, SIGSTOP)
        with _partition(system, VICTIM):
            queued = [begin_chat(address, f"queue-{n}") for n in range(QUEUED)]
            queued += [
                begin_chat(address, f"queue-{session}", session=session)
                for session in sessions
            ]
            withdrawal = change(
                system.ports[0], "suspended", "withdraw", WITHDRAWN
            )
            assert withdrawal.status == 200, withdrawal
            in_force_before_expiry = _in_force(
                system, withdrawal.body["revision"]
            )
            system.sycactl(
                "withdraw",
                WITHDRAWN,
                "--wait",
                "--change-id",
                "suspended",
                "--message",
                "a test",
            )
            runs = system.world.runs_on_version(WITHDRAWN)
            system.cluster.send_signal(VICTIM, SIGCONT)
            replies = [finish(pending) for pending in queued]

        assert not in_force_before_expiry, "in force while a lease was valid"
        assert system.world.runs_on_version(WITHDRAWN) == runs
        for reply in replies:
            assert (reply.run, reply.code) == (NOT_RUN, "no_lease"), reply
        caught_up = wait_for(
            lambda: _answered_probe(address), "the entry to serve"
        )
        assert caught_up.version == "nest-small@4"
        assert readiness(address)["revision"] >= withdrawal.body["revision"]
        assert system.world.runs_on_version(WITHDRAWN) == runs
        system.sycactl("reinstate", WITHDRAWN, "--wait")


class TestPartitionedEntry:
    def test_new_work_is_refused_and_running_streams_complete(
        self, system: System
    ) -> None:
        """An entry is partitioned from every control process for a while.

        A running stream must complete. Once the lease has expired, new
        requests are refused and not run. After the partition has healed, the
        entry serves again without an operator's help.
        """
        address = system.entry(PARTITIONED)
        key = "long-before-the-cut"
        running = system.pool.submit(chat, address, key, tokens=LONG_TOKENS)
        wait_for(lambda: _run_count(system, key), "the stream")
        late_keys = [f"new-{number}" for number in range(QUEUED)]
        with _partition(system, PARTITIONED):
            wait_for(lambda: not _has_lease(address), "the lease to run out")
            replies = [chat(address, late_key) for late_key in late_keys]
            assert not running.done()
        ended = running.result()

        for late_key, reply in zip(late_keys, replies, strict=True):
            assert (reply.run, reply.code) == (NOT_RUN, "no_lease"), reply
            assert not _run_count(system, late_key)
        assert is_whole(ended, key, LONG_TOKENS), ended
        wait_for(lambda: _answered_probe(address), "the entry to serve")


class TestSilentConnection:
    def test_entry_reconnects_and_keeps_serving(self, system: System) -> None:
        """Connections between an entry and its control drop all data.

        The open connections to and from the entry's control process show no
        error, and new connections work. The entry notices that its frames
        are not echoed, reconnects to the same or another control process,
        and must refuse no request in the meantime.
        """
        address = system.entry(PARTITIONED)
        wait_for(lambda: _answered_probe(address), "the entry to serve")
        control = wait_for(
            lambda: _attached_control(system), "the control process"
        )
        log_before = system.cluster.log_text(PARTITIONED)
        assert _blackhole(system, control) >= 2
        replies: list[Reply] = []

        def has_noticed() -> bool:
            replies.append(chat(address, f"silent-{len(replies)}"))
            log = system.cluster.log_text(PARTITIONED).removeprefix(log_before)
            return "link silent" in log

        wait_for(has_noticed, "the entry to notice")
        for number in range(CALLS_AFTER):
            replies.append(chat(address, f"after-{number}"))
        refused = [reply for reply in replies if reply.run != ANSWERED]
        assert not refused, (refused, len(replies))


def _in_force(system: System, revision: int) -> bool:
    leader = system.leader()
    answer = query(system.port(leader), f"/in-force?revision={revision}")
    assert answer.status == 200, answer
    return bool(answer.body["in_force"])


def _answered_probe(address: str) -> Reply | None:
    reply = chat(address, new_key("probe"))
    return reply if reply.run == ANSWERED else None


def _has_lease(address: str) -> bool:
    return bool(readiness(address)["lease_remaining_s"] > 0)


def _run_count(system: System, request_key: str) -> int:
    return sum(
        record.request_key == request_key
        for engine in system.world.engines
        for record in engine.records
    )


@contextmanager
def _partition(system: System, entry: str) -> Iterator[None]:
    proxies = system.cluster.proxies
    sender = system.cluster.entries[entry].peer_address
    system.call_in_loop(proxies[entry].cut)
    for control in CONTROLS:
        system.call_in_loop(proxies[control].cut, sender)
    try:
        yield
    finally:
        for name in (entry, *CONTROLS):
            system.call_in_loop(proxies[name].heal)


def _attached_control(system: System) -> str:
    for row in system.query(system.leader(), "/nodes")["nodes"]:
        if row["vm"] == PARTITIONED and row["control"] in CONTROLS:
            name: str = row["control"]
            return name
    return ""


def _blackhole(system: System, control: str) -> int:
    proxies = system.cluster.proxies
    entry_address = system.cluster.entries[PARTITIONED].peer_address
    control_address = system.cluster.controls[control].peer_address
    return sum(
        (
            system.call_in_loop(
                proxies[PARTITIONED].blackhole, control_address
            ),
            system.call_in_loop(proxies[control].blackhole, entry_address),
        )
    )
