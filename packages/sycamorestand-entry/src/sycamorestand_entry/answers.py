"""Assembly of a complete chat completion from its streamed events."""

from __future__ import annotations

from typing import Any
from typing import Final

from sycamorestand_entry.sse import decode_event
from sycamorestand_entry.sse import MalformedStream
from sycamorestand_entry.sse import split_events

MAX_TOOL_CALLS: Final = 1024


def assemble(events: bytes) -> dict[str, Any]:
    """Return the answer in the form of a response without streaming.

    Raises `MalformedStream` if an event has bad JSON or choices, because
    the event reader passes on text events without parsing them.
    """
    answer: dict[str, Any] = {}
    choices: dict[int, dict[str, Any]] = {}
    for event in split_events(events):
        content = decode_event(event)
        answer = answer or {
            name: content[name]
            for name in ("id", "created", "model")
            if name in content
        }
        try:
            for choice in content.get("choices") or []:
                _add_choice(choices, choice)
        except (AttributeError, TypeError) as error:
            raise MalformedStream("an event has no sound choice") from error
    answer["object"] = "chat.completion"
    answer["choices"] = [choices[index] for index in sorted(choices)]
    return answer


def answer_text(events: bytes) -> str:
    """Return the text of the first choice, which the rating is based on."""
    choices = assemble(events)["choices"]
    return (choices[0]["message"].get("content") or "") if choices else ""


def _add_choice(
    choices: dict[int, dict[str, Any]], part: dict[str, Any]
) -> None:
    index = part.get("index", 0)
    choice = choices.setdefault(
        index, {"index": index, "message": {}, "finish_reason": None}
    )
    if part.get("finish_reason") is not None:
        choice["finish_reason"] = part["finish_reason"]
    _add_delta(choice["message"], part.get("delta") or {})


def _add_delta(message: dict[str, Any], delta: dict[str, Any]) -> None:
    for name, value in delta.items():
        if name == "tool_calls":
            calls = message.setdefault("tool_calls", [])
            _add_tool_calls(calls, value or [])
        elif name != "role" and isinstance(value, str):
            message[name] = (message.get(name) or "") + value
        else:
            message[name] = value


def _add_tool_calls(
    calls: list[dict[str, Any]], parts: list[dict[str, Any]]
) -> None:
    for part in parts:
        index = part.get("index", len(calls))
        if index > MAX_TOOL_CALLS:
            raise MalformedStream("an event has too many tool calls")
        while len(calls) <= index:
            calls.append({"function": {"name": "", "arguments": ""}})
        call = calls[index]
        for name in ("id", "type"):
            if part.get(name):
                call[name] = part[name]
        function = part.get("function") or {}
        for name in ("name", "arguments"):
            call["function"][name] += function.get(name) or ""


__all__ = ["answer_text", "assemble"]
