"""Commands that need no control process, and the findings of a check."""

from __future__ import annotations

from collections.abc import Iterable
import getpass
import os
from pathlib import Path
import secrets
import sys
from typing import Final
from typing import NamedTuple

from sycamorestand.operator.context import Action
from sycamorestand.operator.context import Context
from sycamorestand.operator.exits import DONE
from sycamorestand.operator.exits import UsageError
from sycamorestand_model.findings import ERROR
from sycamorestand_model.findings import Finding
from sycamorestand_model.findings import finding_line
from sycamorestand_model.keys import hash_key as hash_of

KEY_BYTES: Final = 24
KEY_FILE_MODE: Final = 0o600
MAX_KEY_CHARACTERS: Final = 256


class CheckAnswer(NamedTuple):
    """The findings of ``sycactl check`` and their counts by severity."""

    errors: int
    warnings: int
    findings: tuple[Finding, ...]


class KeyAnswer(NamedTuple):
    """The salted hash of a key, which may be stored in declarations."""

    key_hash: str


def hash_key() -> Action:
    """Read a key from stdin and print its salted hash."""

    async def act(context: Context) -> int:
        key = _read_key()
        if not key or len(key) > MAX_KEY_CHARACTERS:
            raise UsageError("stdin must hold a key of 1 to 256 characters")
        _print_hash(context, key)
        return DONE

    return act


def new_key(key_file: Path) -> Action:
    """Create a random key, write it to a new file and print its salted hash.

    :param key_file: the file to create, readable by its owner only
    """

    async def act(context: Context) -> int:
        key = secrets.token_urlsafe(KEY_BYTES)
        _write_secret(key_file, key)
        _print_hash(context, key)
        return DONE

    return act


def check_answer(findings: tuple[Finding, ...]) -> CheckAnswer:
    """Return the findings with the counts of errors and warnings."""
    errors = sum(finding.severity == ERROR for finding in findings)
    return CheckAnswer(errors, len(findings) - errors, findings)


def check_lines(answer: CheckAnswer) -> Iterable[str]:
    """Yield the answer of a check as lines for people."""
    for finding in answer.findings:
        yield finding_line(finding)
    yield f"{answer.errors} errors, {answer.warnings} warnings"


def _print_hash(context: Context, key: str) -> None:
    answer = KeyAnswer(hash_of(key))
    context.output.answer(answer, [answer.key_hash])


def _read_key() -> str:
    # The key is not an argument, since arguments are visible in the shell's
    # history and in `ps`.
    if sys.stdin.isatty():
        return getpass.getpass("key: ").strip()
    return sys.stdin.readline(MAX_KEY_CHARACTERS + 2).strip()


def _write_secret(path: Path, key: str) -> None:
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        descriptor = os.open(path, flags, KEY_FILE_MODE)
    except OSError as error:
        raise UsageError(
            f"cannot create key file {path}: {error.strerror}"
        ) from error
    with os.fdopen(descriptor, "w") as stream:
        stream.write(f"{key}\n")


__all__ = [
    "check_answer",
    "check_lines",
    "CheckAnswer",
    "hash_key",
    "KeyAnswer",
    "new_key",
]
