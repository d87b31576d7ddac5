"""Tests of the servers that receive the first share of a roll-out."""

from __future__ import annotations

from sycamorestand_decisions.canary import canary_servers
from sycamorestand_decisions.canary import MIN_SERVERS

NAMES = [f"i-{number:02}" for number in range(18)]


class TestCanaryServers:
    def test_each_server_carries_its_final_load(self) -> None:
        """With a share of 0.4, all 18 would be underloaded until full use."""
        assert len(canary_servers(NAMES, 0.4)) == 7

    def test_every_entry_chooses_the_same_servers(self) -> None:
        other = list(reversed(NAMES))
        assert canary_servers(other, 0.12) == canary_servers(NAMES, 0.12)

    def test_at_least_the_minimum_takes_part(self) -> None:
        assert len(canary_servers(NAMES, 0.01)) == MIN_SERVERS

    def test_servers_only_join_as_the_share_grows(self) -> None:
        assert canary_servers(NAMES, 0.12) < canary_servers(NAMES, 0.4)
