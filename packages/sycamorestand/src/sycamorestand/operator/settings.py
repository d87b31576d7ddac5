"""Settings of ``sycactl``: one list for flags and environment variables.

A flag goes before its variable. For example ``--controls 10.0.0.1:7300``
and ``SYCACTL_CONTROLS=10.0.0.1:7300`` mean the same.
"""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any
from typing import Final
from typing import NamedTuple

from sycamorestand.operator.exits import UsageError

PREFIX: Final = "SYCACTL_"
MAX_KEY_FILE_BYTES: Final = 4_096
MAX_SECONDS: Final = 3_600.0
TRUE_TEXTS: Final = ("1", "true", "yes")
FALSE_TEXTS: Final = ("", "0", "false", "no")


class Setting(NamedTuple):
    """One setting; its flag and its variable follow from the name."""

    name: str
    default: str
    meaning: str
    is_switch: bool = False

    @property
    def flag(self) -> str:
        """Return the flag, for example ``--key-file``."""
        return f"--{self.name.replace('_', '-')}"

    @property
    def variable(self) -> str:
        """Return the environment variable, for example its capitals."""
        return f"{PREFIX}{self.name.upper()}"


SETTINGS: Final = (
    Setting(
        "controls",
        "127.0.0.1:7300",
        "control processes, comma-separated host:port or https://host:port",
    ),
    Setting("key_file", "", "file that holds the operator's key"),
    Setting("ca_file", "", "certificate authority for https addresses"),
    Setting("attempt_s", "5", "how long one control process may take"),
    Setting("patience_s", "30", "how long to try them all in turn"),
    Setting("wait_s", "30", "how long --wait waits for 'in force'"),
    Setting("json", "", "print JSON for programs", is_switch=True),
)


class Settings(NamedTuple):
    """The settings as read; the key itself is read when it is needed."""

    controls: tuple[str, ...]
    key_file: str
    ca_file: str
    attempt_s: float
    patience_s: float
    wait_s: float
    json: bool


def parse_settings(
    arguments: list[str], environment: Mapping[str, str]
) -> tuple[Settings, list[str]]:
    """Return the settings and the arguments that are left."""
    _refuse_unknown_variables(environment)
    texts = {
        setting.name: environment.get(setting.variable, setting.default)
        for setting in SETTINGS
    }
    rest = _parse_flags(arguments, texts)
    return _parse_values(texts), rest


def settings_help() -> str:
    """Return the part of ``--help`` that lists every setting."""
    lines = ["settings (a flag goes before its environment variable):"]
    for setting in SETTINGS:
        lines.append(f"  {setting.flag}, {setting.variable}")
        default = f" (default: {setting.default})" if setting.default else ""
        lines.append(f"      {setting.meaning}{default}")
    return "\n".join(lines)


def read_key(settings: Settings) -> str:
    """Return the operator's key from its file."""
    if not settings.key_file:
        raise UsageError("no operator key; set --key-file or SYCACTL_KEY_FILE")
    try:
        with Path(settings.key_file).open("rb") as stream:
            content = stream.read(MAX_KEY_FILE_BYTES + 1)
    except OSError as error:
        raise UsageError(
            f"cannot read key file {settings.key_file}: {error.strerror}"
        ) from error
    key = content.strip()
    if not key or len(content) > MAX_KEY_FILE_BYTES:
        raise UsageError(f"key file {settings.key_file} holds no key")
    if not key.isascii() or not key.decode().isprintable() or b" " in key:
        raise UsageError(f"key file {settings.key_file} holds no single key")
    return key.decode()


def _refuse_unknown_variables(environment: Mapping[str, str]) -> None:
    known = {setting.variable for setting in SETTINGS}
    unknown = [
        name
        for name in environment
        if name.startswith(PREFIX) and name not in known
    ]
    if unknown:
        raise UsageError(f"unknown variables: {', '.join(sorted(unknown))}")


def _parse_flags(arguments: list[str], texts: dict[str, str]) -> list[str]:
    by_flag = {setting.flag: setting for setting in SETTINGS}
    rest: list[str] = []
    remaining = list(arguments)
    while remaining:
        argument = remaining.pop(0)
        flag, separator, value = argument.partition("=")
        setting = by_flag.get(flag)
        if setting is None:
            rest.append(argument)
        elif setting.is_switch:
            texts[setting.name] = value if separator else "1"
        elif separator:
            texts[setting.name] = value
        elif remaining:
            texts[setting.name] = remaining.pop(0)
        else:
            raise UsageError(f"{flag} needs a value")
    return rest


def _parse_values(texts: dict[str, str]) -> Settings:
    values: dict[str, Any] = dict(texts)
    for name in ("attempt_s", "patience_s", "wait_s"):
        values[name] = _seconds(name, texts[name])
    values["controls"] = _addresses(texts["controls"])
    values["json"] = _boolean("json", texts["json"])
    return Settings(**values)


def _seconds(name: str, text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 < value <= MAX_SECONDS:
        raise UsageError(f"{name} must be above 0 and at most {MAX_SECONDS}")
    return value


def _boolean(name: str, text: str) -> bool:
    if text.lower() in TRUE_TEXTS:
        return True
    if text.lower() in FALSE_TEXTS:
        return False
    raise UsageError(f"{name} must be one of {', '.join(TRUE_TEXTS)}")


def _addresses(text: str) -> tuple[str, ...]:
    urls = [_url(part.strip()) for part in text.split(",") if part.strip()]
    if not urls:
        raise UsageError("no control process; set --controls")
    return tuple(dict.fromkeys(urls))


def _url(address: str) -> str:
    scheme, separator, rest = address.rpartition("://")
    scheme = scheme if separator else "http"
    host, _, port = rest.rpartition(":")
    if scheme not in ("http", "https") or not host or not port.isdecimal():
        raise UsageError(f"{address!r} is no host:port")
    return f"{scheme}://{host}:{port}"


__all__ = [
    "read_key",
    "Setting",
    "Settings",
    "SETTINGS",
    "settings_help",
    "parse_settings",
]
