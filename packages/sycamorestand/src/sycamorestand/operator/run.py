"""Entry point of ``sycactl``."""

from __future__ import annotations

import os
import sys
from typing import Any
from typing import Final

import anyio
import defopt

from sycamorestand.operator.applying import apply
from sycamorestand.operator.applying import check
from sycamorestand.operator.applying import plan
from sycamorestand.operator.changes import drain
from sycamorestand.operator.changes import drain_data_centre
from sycamorestand.operator.changes import lift_quarantine
from sycamorestand.operator.changes import quarantine
from sycamorestand.operator.changes import reinstate
from sycamorestand.operator.changes import release_part
from sycamorestand.operator.changes import replace_voter
from sycamorestand.operator.changes import rotate_session_key
from sycamorestand.operator.changes import start_rollout
from sycamorestand.operator.changes import stop_rollout
from sycamorestand.operator.changes import transfer_leadership
from sycamorestand.operator.changes import undrain
from sycamorestand.operator.changes import undrain_data_centre
from sycamorestand.operator.changes import withdraw
from sycamorestand.operator.context import Action
from sycamorestand.operator.context import Context
from sycamorestand.operator.exits import EXIT_MEANINGS
from sycamorestand.operator.exits import INTERNAL
from sycamorestand.operator.exits import INTERRUPTED
from sycamorestand.operator.exits import SycactlError
from sycamorestand.operator.explain_request import explain_request
from sycamorestand.operator.offline import hash_key
from sycamorestand.operator.offline import new_key
from sycamorestand.operator.output import Output
from sycamorestand.operator.questions import audit
from sycamorestand.operator.questions import backends
from sycamorestand.operator.questions import bills
from sycamorestand.operator.questions import explain
from sycamorestand.operator.questions import nodes
from sycamorestand.operator.questions import rollout_status
from sycamorestand.operator.questions import room
from sycamorestand.operator.questions import status
from sycamorestand.operator.settings import parse_settings
from sycamorestand.operator.settings import settings_help
from sycamorestand_model.errors import SycamorestandError

COMMANDS: Final[dict[str, Any]] = {
    "check": check,
    "plan": plan,
    "apply": apply,
    "status": status,
    "withdraw": withdraw,
    "reinstate": reinstate,
    "quarantine": quarantine,
    "lift-quarantine": lift_quarantine,
    "release-part": release_part,
    "rollout": {
        "start": start_rollout,
        "stop": stop_rollout,
        "status": rollout_status,
    },
    "drain": drain,
    "undrain": undrain,
    "drain-data-centre": drain_data_centre,
    "undrain-data-centre": undrain_data_centre,
    "audit": audit,
    "bills": bills,
    "nodes": nodes,
    "backends": backends,
    "room": room,
    "replace-voter": replace_voter,
    "transfer-leadership": transfer_leadership,
    "rotate-session-key": rotate_session_key,
    "explain": explain,
    "explain-request": explain_request,
    "hash-key": hash_key,
    "new-key": new_key,
}


def main(arguments: list[str] | None = None) -> None:
    """Run ``sycactl`` and exit with the code that stands for the outcome."""
    given = sys.argv[1:] if arguments is None else arguments
    sys.exit(run(given))


def run(arguments: list[str]) -> int:
    """Run one command and return its exit code."""
    output = Output("--json" in arguments)
    try:
        settings, rest = parse_settings(arguments, os.environ)
        output = Output(settings.json)
        action = _parse(rest)
        code = anyio.run(action, Context(settings, output))
        sys.stdout.flush()
        return code
    except SycactlError as error:
        output.failure(error.code, str(error))
        return error.exit_code
    except SycamorestandError as error:
        output.failure("internal", str(error))
        return INTERNAL
    except BrokenPipeError:
        # The reader has closed the pipe, as `head` does. Redirecting stdout
        # to /dev/null keeps the flush at exit from printing a second error.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return INTERNAL
    except KeyboardInterrupt:
        output.failure(
            "interrupted",
            "interrupted; a change that was sent has the change id above",
        )
        return INTERRUPTED


def _parse(arguments: list[str]) -> Action:
    """Return the action of the command that the arguments name.

    Exits with status 2 if the arguments are invalid and with 0 after
    ``--help``, which also lists the settings and the exit codes.
    """
    wants_help = "-h" in arguments or "--help" in arguments
    try:
        return defopt.run(
            _commands_for(arguments),
            argv=arguments or ["--help"],
            short={},
            no_negated_flags=True,
            argparse_kwargs={"prog": "sycactl", "allow_abbrev": False},
        )
    except SystemExit as error:
        if error.code == 0 and (wants_help or not arguments):
            sys.stdout.write(f"\n{settings_help()}\n\n{_exit_help()}\n")
        raise


def _commands_for(arguments: list[str]) -> dict[str, Any]:
    """Return only the named command, or all of them if none is named.

    Parsing the docstrings of all commands would take most of the start time.
    """
    name = arguments[0] if arguments else ""
    return {name: COMMANDS[name]} if name in COMMANDS else COMMANDS


def _exit_help() -> str:
    lines = ["exit codes:"]
    lines += [f"  {code}  {text}" for code, text in EXIT_MEANINGS.items()]
    return "\n".join(lines)


__all__ = ["main", "run"]

if __name__ == "__main__":
    main()
