"""The servers that take part in the first share of a roll-out."""

from __future__ import annotations

from sycamorestand_decisions.canary import canary_servers
from sycamorestand_decisions.canary import MIN_SERVERS

NAMES = [f"i-{number:02}" for number in range(18)]


class TestFirstServers:
    def test_each_carries_what_it_will_carry_in_the_end(self) -> None:
        """All 18 at a share of 0.4 would idle, and fail only when full."""
        assert len(canary_servers(NAMES, 0.4)) == 7

    def test_every_entry_takes_the_same(self) -> None:
        other = list(reversed(NAMES))
        assert canary_servers(other, 0.12) == canary_servers(NAMES, 0.12)

    def test_one_lost_server_is_not_all_of_them(self) -> None:
        assert len(canary_servers(NAMES, 0.01)) == MIN_SERVERS

    def test_more_join_and_none_leaves_as_the_share_grows(self) -> None:
        assert canary_servers(NAMES, 0.12) < canary_servers(NAMES, 0.4)
