"""What an answer says of its server."""

from __future__ import annotations

import pytest

from sycamorestand_decisions.server_rests import MAX_REST_S
from sycamorestand_entry.server_notices import read_notice
from sycamorestand_entry.server_notices import ServerNotice
from sycamorestand_entry.upstream import ResponseHead


def notice(status: int, **headers: str) -> ServerNotice:
    named = {
        name.replace("_", "-").encode(): value.encode()
        for name, value in headers.items()
    }
    return read_notice(ResponseHead(status, named), b"x-leaving")


class TestRest:
    @pytest.mark.parametrize(
        ("value", "rest_s"),
        [
            ("3", 3.0),
            (" 0.25 ", 0.25),
            ("0", 0.0),
            ("-3", 0.0),
            ("", 0.0),
            ("nan", 0.0),
            ("inf", 0.0),
            ("1e3", 0.0),
            ("1.2.3", 0.0),
            ("Fri, 04 Dec 2026 10:00:00 GMT", 0.0),
            ("1000000", MAX_REST_S),
            ("9" * 400, MAX_REST_S),
            ("0." + "3" * 400, 0.3333333333),
        ],
    )
    def test_odd_values(self, value: str, rest_s: float) -> None:
        """A false value took a server out for good, or was an exception."""
        assert notice(503, retry_after=value).rest_s == pytest.approx(rest_s)

    @pytest.mark.parametrize("status", [200, 421, 429, 500])
    def test_only_a_server_that_turns_away_asks_for_it(
        self, status: int
    ) -> None:
        assert notice(status, retry_after="3") == ServerNotice()


class TestLeaving:
    @pytest.mark.parametrize("value", ["", "0", "true", "11", "1, 1"])
    def test_other_values_say_nothing(self, value: str) -> None:
        assert not notice(200, x_leaving=value).is_leaving

    @pytest.mark.parametrize("status", [200, 404, 500, 503])
    def test_every_answer_of_the_server_may_say_it(self, status: int) -> None:
        assert notice(status, x_leaving="1").is_leaving

    def test_answer_of_another_server_says_nothing(self) -> None:
        """An address is used again, and the server that was meant is gone."""
        assert notice(421, x_leaving="1", retry_after="3") == ServerNotice()
