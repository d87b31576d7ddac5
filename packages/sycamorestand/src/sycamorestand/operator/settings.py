"""Read the settings of ``sycactl`` from flags and environment variables.

A flag takes precedence over its variable. For example ``--controls
10.0.0.1:7300`` and ``SYCACTL_CONTROLS=10.0.0.1:7300`` set the same setting.
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
    """A setting, whose flag and variable are derived from its name."""

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
        """Return the variable, for example ``SYCACTL_KEY_FILE``."""
        return f"{PREFIX}{self.name.upper()}"


SETTINGS: Final = (
    Setting(
        "controls",
        "127.0.0.1:7300",
        "control processes, comma-separated host:port or https://host:port",
    ),
    Setting("key_file", "", "file that holds the operator's key"),
    Setting(
        "ca_file", "", "file of the certificate authority for https addresses"
    ),
    Setting(
        "attempt_s", "5", "seconds that one control process may take to answer"
    ),
    Setting(
        "patience_s",
        "30",
        "seconds for which all control processes are tried in turn",
    ),
    Setting(
        "wait_s",
        "30",
        "seconds that --wait waits for a revision to be in force",
    ),
    Setting(
        "json", "", "print the answer as JSON, for programs", is_switch=True
    ),
)


class Settings(NamedTuple):
    """The values of the settings.

    The key isn't among them: it is read from ``key_file`` once it is needed.
    """

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
    """Return the settings and the arguments that set none of them.

    Raises `UsageError` if a value is invalid or the environment has an
    unknown ``SYCACTL_`` variable, which is probably misspelt.
    """
    _refuse_unknown_variables(environment)
    texts = {
        setting.name: environment.get(setting.variable, setting.default)
        for setting in SETTINGS
    }
    rest = _parse_flags(arguments, texts)
    return _parse_values(texts), rest


def settings_help() -> str:
    """Return the part of ``--help`` that lists every setting."""
    lines = [
        "settings (a flag takes precedence over its environment variable):"
    ]
    for setting in SETTINGS:
        lines.append(f"  {setting.flag}, {setting.variable}")
        default = f" (default: {setting.default})" if setting.default else ""
        lines.append(f"      {setting.meaning}{default}")
    return "\n".join(lines)


def read_key(settings: Settings) -> str:
    """Return the operator's key from its file.

    Raises `UsageError` if no file is set, if it cannot be read, or if it
    doesn't hold exactly one printable ASCII key.
    """
    if not settings.key_file:
        raise UsageError(
            "operator key is missing; set --key-file or SYCACTL_KEY_FILE"
        )
    try:
        with Path(settings.key_file).open("rb") as stream:
            content = stream.read(MAX_KEY_FILE_BYTES + 1)
    except OSError as error:
        raise UsageError(
            f"cannot read key file {settings.key_file}: {error.strerror}"
        ) from error
    key = content.strip()
    if not key or len(content) > MAX_KEY_FILE_BYTES:
        raise UsageError(f"key file {settings.key_file} is empty or too long")
    if not key.isascii() or not key.decode().isprintable() or b" " in key:
        raise UsageError(
            f"key file {settings.key_file} must hold one printable key"
        )
    return key.decode()


def _refuse_unknown_variables(environment: Mapping[str, str]) -> None:
    known = {setting.variable for setting in SETTINGS}
    unknown = [
        name
        for name in environment
        if name.startswith(PREFIX) and name not in known
    ]
    if unknown:
        raise UsageError(
            f"unknown environment variables: {', '.join(sorted(unknown))}"
        )


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
            raise UsageError(f"{flag} requires a value")
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
        raise UsageError(
            "at least one control process is required; set --controls"
        )
    return tuple(dict.fromkeys(urls))


def _url(address: str) -> str:
    scheme, separator, rest = address.rpartition("://")
    scheme = scheme if separator else "http"
    host, _, port = rest.rpartition(":")
    if scheme not in ("http", "https") or not host or not port.isdecimal():
        raise UsageError(f"{address!r} is not host:port or https://host:port")
    return f"{scheme}://{host}:{port}"


__all__ = [
    "read_key",
    "Setting",
    "Settings",
    "SETTINGS",
    "settings_help",
    "parse_settings",
]
