"""Tests of how long a server that has not answered is waited for."""

from __future__ import annotations

import pytest

from sycamorestand_decisions.patience import first_event_limits_s
from sycamorestand_decisions.patience import READ_TOKENS_PER_S


class TestFirstEvent:
    @pytest.mark.parametrize("aim_s", [0.5, 4.0])
    @pytest.mark.parametrize("left_s", [1.0, 20.0])
    def test_whoever_is_overtaken_goes_first(
        self, aim_s: float, left_s: float
    ) -> None:
        overtaken_s, in_any_case_s = first_event_limits_s(aim_s, left_s)
        assert 0 < overtaken_s <= in_any_case_s

    def test_a_long_prompt_is_not_given_up_while_it_is_read(self) -> None:
        """A prompt of 37,000 tokens takes 2.9 s to read on a large model.

        It was given up after 2.4 s of an aim of 4 s and begun anew at the
        next server, where it took another 2.9 s: the caller had its first
        event after 6.1 s, and both servers' other callers had waited.
        """
        limits_s = first_event_limits_s(4.0, 19.3, 37_000)
        assert min(limits_s) > 2.9

    def test_a_long_prompt_leaves_time_for_another_server(self) -> None:
        """The server that should read it hangs instead."""
        tokens = 37_000
        _, limit_s = first_event_limits_s(4.0, 20.0, tokens)
        assert 20.0 - limit_s > 2 * tokens / READ_TOKENS_PER_S
