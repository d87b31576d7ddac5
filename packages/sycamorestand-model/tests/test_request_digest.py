"""A request is known by its caller, path and body, and by nothing else."""

from __future__ import annotations

import pytest

from sycamorestand_model.prompt_parts import tracked_parts
from sycamorestand_model.request_digest import is_request
from sycamorestand_model.request_digest import request_name
from sycamorestand_model.request_digest import RequestContent

CONTENT = RequestContent("club", b"POST", b"nest", b"/review/1", b"body")
KEY = b"k" * 32


class TestRequestName:
    def test_same_content_has_the_same_name(self) -> None:
        assert request_name(CONTENT, KEY) == request_name(CONTENT, KEY)
        assert is_request(request_name(CONTENT, KEY))

    @pytest.mark.parametrize(
        "change",
        [
            {"customer": "school"},
            {"method": b"PUT"},
            {"host": b"lane"},
            {"target": b"/review/2"},
            {"body": b"other"},
            {"target": b"/review/", "body": b"1body"},
        ],
    )
    def test_other_content_has_another_name(self, change: dict) -> None:
        """A sound request would be refused for another one."""
        other = CONTENT._replace(**change)
        assert request_name(other, KEY) != request_name(CONTENT, KEY)

    def test_name_tells_nothing_without_the_key(self) -> None:
        """A reader of logs could find out a short body by trying."""
        assert request_name(CONTENT, KEY) != request_name(CONTENT, b"")

    def test_no_prompt_part_passes_for_a_request(self) -> None:
        """A caller could name a part like the request of another one."""
        (part,) = tracked_parts("club", [request_name(CONTENT, KEY)])
        assert not is_request(part)
