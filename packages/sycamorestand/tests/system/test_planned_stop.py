"""A planned stop is a graceful shutdown and aborts no request."""

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
    def test_running_streams_complete(self, system: System) -> None:
        """An entry is stopped while streams of two seconds run.

        It removes itself from the address answers, lets the streams
        complete, and exits with 0.
        """
        address = system.entry(VICTIM)
        keys = [f"stopped-{number}" for number in range(STREAMS)]
        before = _running_requests(system)
        calls = [
            system.pool.submit(chat, address, key, tokens=TOKENS)
            for key in keys
        ]
        wait_for(
            lambda: _running_requests(system) >= before + STREAMS,
            "the streams",
        )
        status = system.cluster.stop(VICTIM)
        replies = [call.result() for call in calls]
        system.restart_entry(VICTIM)
        assert status == 0
        for key, reply in zip(keys, replies, strict=True):
            assert is_whole(reply, key, TOKENS), reply


class TestControlLeader:
    def test_each_change_is_refused_at_most_once(self, system: System) -> None:
        """An operator sends changes while the leader's process is stopped.

        The leader transfers its leadership before it exits. A change in that
        moment is refused with "no leader" at most once. Sent again with the
        same id to another control process, it is accepted.
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


def _running_requests(system: System) -> int:
    return sum(engine.running for engine in system.world.engines)
