"""The index of the backend servers by version and service."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from sycamorestand_bench.fakes.control_port import FakeControlPort
from sycamorestand_bench.fakes.control_port import FakeLedger
from sycamorestand_entry.server_index import ServerIndex
from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.in_force import InForce
from sycamorestand_model.in_force import takes_new_work

TARGETS = ("stock", "stock@1", "stock@2", "talk")
NAMES = st.sampled_from(["s-1", "s-2", "s-3", "s-4"])
PLACES = st.sampled_from(["marietta", "tacoma"])
ANNOUNCEMENTS = st.builds(
    Announcement,
    NAMES,
    st.just("service"),
    st.just("127.0.0.1:1"),
    PLACES,
    st.just(1),
    st.integers(1, 9),
    st.lists(st.sampled_from(TARGETS), unique=True).map(tuple),
    leaving=st.booleans(),
)
# A server comes or changes, leaves, or other data centres are drained.
CHANGES = st.one_of(
    ANNOUNCEMENTS, NAMES, st.lists(PLACES, unique=True).map(tuple)
)


def apply(control: FakeControlPort, change: object) -> None:
    if isinstance(change, Announcement):
        control.servers[change.name] = change
    elif isinstance(change, str):
        control.servers.pop(change, None)
    else:
        control.configuration = control.configuration._replace(
            draining_data_centres=change
        )


def holders(control: FakeControlPort, target: str) -> list[Announcement]:
    return [
        server
        for server in control.servers.values()
        if target in server.versions
        and takes_new_work(control.configuration, server)
    ]


def main_version(control: FakeControlPort, service: str) -> str:
    counts = Counter(
        version
        for server in holders(control, service)
        for version in server.versions
        if version != service
    )
    if len(counts) <= 1:
        return service
    return max(sorted(counts), key=lambda name: counts[name])


class TestServerIndex:
    @given(st.lists(CHANGES, max_size=12))
    def test_answers_are_those_of_this_moment(
        self, changes: list[object]
    ) -> None:
        """An outdated answer would send requests to drained servers."""
        control = FakeControlPort(InForce(), FakeLedger())
        index = ServerIndex(control)
        for change in changes:
            apply(control, change)
            for target in TARGETS:
                expected = sorted(holders(control, target))
                assert sorted(index.holders(target)) == expected
                expected_main = main_version(control, target)
                assert index.main_version(target) == expected_main
