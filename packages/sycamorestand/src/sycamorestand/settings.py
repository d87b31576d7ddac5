"""Read settings from flags and environment variables, and check them."""

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
    """Settings are missing or invalid; the message lists every finding."""


class Joint(NamedTuple):
    """A group of settings that must be given all together or not at all.

    ``join`` combines the values of its settings, passed in the order in
    which the settings are listed, into one value, or raises ``ValueError``.
    That value is stored under ``name`` in place of the separate ones. It is
    None if no setting of the group is given.
    """

    name: str
    join: Callable[..., Any]


class Setting(NamedTuple):
    """A setting with its flag, environment variable and parser.

    ``read`` parses the text or raises ``ValueError`` with a message for the
    operator. A setting whose ``default`` is None is required. Settings with
    the same ``joint`` form one group.
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
    """Return the value of each setting, by the setting's name.

    A flag takes precedence over the environment variable. Raises
    `SettingsError` with all findings, each with the flag or variable that
    holds the invalid value.
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

    Each flag is a string that defaults to the empty string. An empty flag
    counts as not given, so that the environment variable applies.
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
    """Return the text if it is one line of 1 to 200 characters."""
    if not value or len(value) > 200 or "\n" in value:
        raise ValueError("must be one line of 1 to 200 characters")
    return value


def optional_text(value: str) -> str:
    """Return the text if it is empty or passes `text`."""
    return value and text(value)


def number(low: float, high: float) -> Callable[[str], float]:
    """Return a parser of numbers from ``low`` to ``high``."""

    def read(value: str) -> float:
        result = float(value)
        if not low <= result <= high:
            raise ValueError(f"{value} is not from {low} to {high}")
        return result

    return read


def integer(low: int, high: int) -> Callable[[str], int]:
    """Return a parser of integers from ``low`` to ``high``."""

    def read(value: str) -> int:
        result = int(value)
        if not low <= result <= high:
            raise ValueError(f"{value} is not from {low} to {high}")
        return result

    return read


def yes_or_no(value: str) -> bool:
    """Return True for ``yes`` and False for ``no``."""
    if value not in ("yes", "no"):
        raise ValueError(f"{value!r} must be yes or no")
    return value == "yes"


def address(value: str) -> str:
    """Return an ``IP:port``; host names are refused.

    Processes connect to each other by IP without resolving names.
    """
    host, separator, port = value.rpartition(":")
    if not separator:
        raise ValueError(f"{value!r} is not an IP:port")
    ipaddress.ip_address(host.strip("[]"))
    integer(0, 65_535)(port)
    return value


def optional_address(value: str) -> str:
    """Return an ``IP:port``, or the empty string if none is given."""
    return value and address(value)


def addresses(value: str) -> tuple[str, ...]:
    """Return a comma-separated list of ``IP:port``, which may be empty."""
    return tuple(address(part.strip()) for part in value.split(",") if part)


def required_addresses(value: str) -> tuple[str, ...]:
    """Return a comma-separated list of at least one ``IP:port``."""
    parsed = addresses(value)
    if not parsed:
        raise ValueError("must list at least one address")
    return parsed


def folder(value: str) -> Path:
    """Return the path of an existing folder."""
    path = Path(value)
    if not path.is_dir():
        raise ValueError(f"{value} is not an existing folder")
    return path


def optional_file(value: str) -> Path | None:
    """Return the path of a readable file, or None if none is given.

    Raises ``OSError`` if the file cannot be opened.
    """
    if not value:
        return None
    path = Path(value)
    with path.open("rb"):
        return path


def key_file(value: str) -> KeyFile:
    """Return the keys of a file with one key a line.

    A changed file is read again while the process runs.
    """
    return KeyFile(Path(value))


def optional_key_file(value: str) -> KeySource:
    """Return the keys of a file, or no keys if no file is given."""
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
    """Replace the values of a group by their joint value; return findings."""
    flags = ", ".join(member.flag for member in members)
    # A setting without a value was given an invalid text, which
    # `read_settings` has already reported. So it is not a missing one.
    has_invalid = any(member.name not in values for member in members)
    member_values = [values.pop(member.name, joint) for member in members]
    missing = [
        m for m, value in zip(members, member_values, strict=True) if not value
    ]
    values[joint.name] = None
    if len(missing) == len(members):
        return []
    findings = [
        f"{member.flag} or {member.variable} is required as well:"
        f" give either all of {flags}, or none"
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
