"""A planned stop is a graceful shutdown: it cuts no request."""

from __future__ import annotations

from sycamorestand_bench.system.calls import chat
from sycamorestand_bench.system.calls import is_whole
from sycamorestand_bench.system.changes import ChangeStream
from sycamorestand_bench.system.system import System
from sycamorestand_bench.system.system import VICTIM
from sycamorestand_bench.system.system import wait_for

STREAMS = 8
TOKENS = 400
CHANGES = 40


class TestEntry:
    def test_streams_under_way_end_whole(self, system: System) -> None:
        """A caller's stream at a stopping entry ends as if nothing was.

        Streams of two seconds run at an entry when it is told to stop. It
        leaves the address answers, lets them end, and exits with 0.
        """
        address = system.entry(VICTIM)
        keys = [f"stopped-{number}" for number in range(STREAMS)]
        before = _running(system)
        calls = [
            system.pool.submit(chat, address, key, tokens=TOKENS)
            for key in keys
        ]
        wait_for(lambda: _running(system) >= before + STREAMS, "the streams")
        status = system.cluster.stop(VICTIM)
        replies = [call.result() for call in calls]
        system.restart_entry(VICTIM)
        assert status == 0
        for key, reply in zip(keys, replies, strict=True):
            assert is_whole(reply, key, TOKENS), reply


class TestControlLeader:
    def test_changes_are_refused_once_at_most(self, system: System) -> None:
        """An operator's changes go on while the leader's VM is stopped.

        The leader hands over before it ends. A change that comes right
        then is refused with "no leader" once at most; its resend, with
        the same id, to another control process is accepted.
        """
        leader = system.leader()
        others = [
            system.port(name)
            for name in system.cluster.controls
            if name != leader
        ]
        base = system.status(leader)["revision"]
        stream = ChangeStream("stop", others, base)
        stream.send(CHANGES // 4)
        stopping = system.pool.submit(system.cluster.stop, leader)
        stream.send(CHANGES - CHANGES // 4)
        status = stopping.result()
        system.restart_control(leader)
        system.cluster.wait_ready(leader)
        assert status == 0
        tries = [accepted.tries for accepted in stream.accepted]
        assert max(tries) <= 2, tries


def _running(system: System) -> int:
    return sum(engine.running for engine in system.world.engines)
