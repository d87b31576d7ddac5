"""What one request may be refused for: parts of its prompt, and itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorestand_model.request_digest import request_name

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_model.in_force import InForce
    from sycamorestand_model.request_digest import RequestContent


class RequestFate:
    """What became of a request; it outlives the request's content.

    ``is_answered`` is true once its caller has the whole answer of a server,
    and no other server broke off an answer to it.
    """

    def __init__(self) -> None:
        self.is_answered = False


class RequestParts:
    """The names by which control knows a request of a customer.

    ``prompt`` are the tracked parts of its prompt. The name of the whole
    request is only computed where a server has ended under it or a request is
    watched, as a body may have megabytes. ``has_broken`` is true once a
    server broke off an answer to the request.
    """

    def __init__(
        self,
        content: RequestContent,
        prompt: tuple[str, ...],
        in_force: Callable[[], InForce],
    ) -> None:
        self.customer = content.customer
        self.prompt = prompt
        self.has_broken = False
        self.fate = RequestFate()
        self._content = content
        self._in_force = in_force
        self._names: dict[bytes, str] = {}

    @property
    def whole(self) -> str:
        """The name of the whole request, which is new with each key."""
        return self._name(self._in_force().session_key)

    @property
    def whole_names(self) -> tuple[str, ...]:
        """The names of the whole request under all keys that are valid."""
        in_force = self._in_force()
        keys = [in_force.session_key, in_force.previous_session_key]
        return tuple(self._name(key) for key in keys if key) or (self.whole,)

    def _name(self, key: bytes) -> str:
        name = self._names.get(key)
        if name is None:
            name = self._names[key] = request_name(self._content, key)
        return name


__all__ = ["RequestFate", "RequestParts"]
