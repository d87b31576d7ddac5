"""Settings from flags and environment variables, checked all at once."""

from __future__ import annotations

import inspect
import ipaddress
from pathlib import Path
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_model.errors import SycamorestandError
from sycamorestand_peer.key_file import KeyFile
from sycamorestand_peer.key_file import no_keys

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from sycamorestand_peer.key_file import KeySource

PREFIX: Final = "SYCAMORESTAND_"


class SettingsError(SycamorestandError):
    """Settings cannot be used; the message lists every finding."""


class Joint(NamedTuple):
    """Settings that are given all or none, and then checked together.

    ``join`` makes one value of theirs, in the order in which they are
    listed, or raises ``ValueError``. It stands under ``name`` in place of
    theirs; without them it is None.
    """

    name: str
    join: Callable[..., Any]


class Setting(NamedTuple):
    """One setting: its flag, its environment variable and its reader.

    ``read`` turns the text into a value or raises ``ValueError`` with a
    message for the operator. A ``default`` of None makes it required.
    Those of the same ``joint`` belong together.
    """

    name: str
    read: Callable[[str], Any]
    default: str | None
    help: str
    joint: Joint | None = None

    @property
    def variable(self) -> str:
        """Return the name of the environment variable."""
        return PREFIX + self.name.upper()

    @property
    def flag(self) -> str:
        """Return the name of the command-line flag."""
        return "--" + self.name.replace("_", "-")


def read_settings(
    settings: tuple[Setting, ...],
    flags: Mapping[str, str],
    environment: Mapping[str, str],
) -> dict[str, Any]:
    """Return every setting's value; a flag goes before the environment.

    Raises `SettingsError` with all findings together, each with the
    place that the bad value came from.
    """
    values: dict[str, Any] = {}
    findings: list[str] = []
    for setting in settings:
        source, text = _find_text(setting, flags, environment)
        if text is None:
            findings.append(
                f"{setting.flag} or {setting.variable} is required:"
                f" {setting.help}"
            )
            continue
        try:
            values[setting.name] = setting.read(text)
        except (ValueError, OSError) as error:
            findings.append(f"{source}: {error}")
    for joint in dict.fromkeys(s.joint for s in settings if s.joint):
        members = tuple(s for s in settings if s.joint == joint)
        findings += _join_values(joint, members, values)
    if findings:
        raise SettingsError("\n".join(findings))
    return values


def make_command(
    name: str,
    summary: str,
    settings: tuple[Setting, ...],
    run: Callable[[Mapping[str, str]], int],
) -> Callable[..., int]:
    """Return a function whose signature `defopt` turns into flags.

    Every flag is text with an empty default; an empty flag counts as not
    given, so that the environment decides.
    """

    def command(**flags: str) -> int:
        return run({key: text for key, text in flags.items() if text})

    parameters = [
        inspect.Parameter(
            setting.name,
            inspect.Parameter.KEYWORD_ONLY,
            annotation=str,
            default="",
        )
        for setting in settings
    ]
    command.__name__ = name
    command.__annotations__ = {setting.name: str for setting in settings}
    command.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
    lines = [f":param {s.name}: {_help_text(s)}" for s in settings]
    command.__doc__ = "\n".join([summary, "", *lines])
    return command


def text(value: str) -> str:
    """Read a name: one line, not empty, of a bounded length."""
    if not value or len(value) > 200 or "\n" in value:
        raise ValueError("must be one line of 1 to 200 characters")
    return value


def optional_text(value: str) -> str:
    """Read a text that may be empty."""
    return value and text(value)


def number(low: float, high: float) -> Callable[[str], float]:
    """Return a reader of numbers within bounds."""

    def read(value: str) -> float:
        result = float(value)
        if not low <= result <= high:
            raise ValueError(f"{value} is not from {low} to {high}")
        return result

    return read


def integer(low: int, high: int) -> Callable[[str], int]:
    """Return a reader of whole numbers within bounds."""

    def read(value: str) -> int:
        result = int(value)
        if not low <= result <= high:
            raise ValueError(f"{value} is not from {low} to {high}")
        return result

    return read


def yes_or_no(value: str) -> bool:
    """Read yes or no."""
    if value not in ("yes", "no"):
        raise ValueError(f"{value!r} is neither yes nor no")
    return value == "yes"


def address(value: str) -> str:
    """Read ``IP:port``; names are refused, processes talk by number."""
    host, separator, port = value.rpartition(":")
    if not separator:
        raise ValueError(f"{value!r} is not IP:port")
    ipaddress.ip_address(host.strip("[]"))
    integer(0, 65_535)(port)
    return value


def optional_address(value: str) -> str:
    """Read ``IP:port`` or nothing."""
    return value and address(value)


def addresses(value: str) -> tuple[str, ...]:
    """Read a list of ``IP:port`` with commas; it may be empty."""
    return tuple(address(part.strip()) for part in value.split(",") if part)


def required_addresses(value: str) -> tuple[str, ...]:
    """Read a list of ``IP:port`` with one at least."""
    parsed = addresses(value)
    if not parsed:
        raise ValueError("names no address")
    return parsed


def folder(value: str) -> Path:
    """Read the path of a folder that exists."""
    path = Path(value)
    if not path.is_dir():
        raise ValueError(f"{value} is not a folder")
    return path


def optional_file(value: str) -> Path | None:
    """Read the path of a file that can be opened, or nothing."""
    if not value:
        return None
    path = Path(value)
    with path.open("rb"):
        return path


def key_file(value: str) -> KeyFile:
    """Read keys, one a line; a changed file is read again while we run."""
    return KeyFile(Path(value))


def optional_key_file(value: str) -> KeySource:
    """Read a file of keys, or nothing."""
    return key_file(value) if value else no_keys


def _find_text(
    setting: Setting,
    flags: Mapping[str, str],
    environment: Mapping[str, str],
) -> tuple[str, str | None]:
    if setting.name in flags:
        return setting.flag, flags[setting.name]
    if setting.variable in environment:
        return setting.variable, environment[setting.variable]
    return f"default of {setting.flag}", setting.default


def _join_values(
    joint: Joint, members: tuple[Setting, ...], values: dict[str, Any]
) -> list[str]:
    """Put the joint value in place of its members'; return findings."""
    flags = ", ".join(member.flag for member in members)
    # Who is not among the values was given, and found bad, before.
    has_invalid = any(member.name not in values for member in members)
    member_values = [values.pop(member.name, joint) for member in members]
    missing = [
        m for m, value in zip(members, member_values, strict=True) if not value
    ]
    values[joint.name] = None
    if len(missing) == len(members):
        return []
    findings = [
        f"{member.flag} or {member.variable} is required too:"
        f" give all or none of {flags}"
        for member in missing
    ]
    if findings or has_invalid:
        return findings
    try:
        values[joint.name] = joint.join(*member_values)
    except ValueError as error:
        findings.append(f"{flags}: {error}")
    return findings


def _help_text(setting: Setting) -> str:
    if setting.default is None:
        requirement = "required"
    elif setting.default:
        requirement = f"default {setting.default}"
    else:
        requirement = "default empty"
    return f"{setting.help} ({setting.variable}; {requirement})"


__all__ = [
    "address",
    "addresses",
    "yes_or_no",
    "folder",
    "Joint",
    "key_file",
    "make_command",
    "number",
    "optional_address",
    "optional_file",
    "optional_key_file",
    "optional_text",
    "read_settings",
    "Setting",
    "SettingsError",
    "required_addresses",
    "text",
    "integer",
]
