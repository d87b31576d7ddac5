"""Write structured logs to standard output, one JSON object a line."""

from __future__ import annotations

import atexit
import logging
import sys
from typing import Final

from pythonjsonlogger.json import JsonFormatter

from sycamorestand.bounded_output import BoundedOutput

FIELDS: Final = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logging(vm: str, role: str, level: str) -> BoundedOutput:
    """Send all log records to standard output and return the handler.

    Each line names the VM and the role of this process.
    """
    handler = BoundedOutput(sys.stdout.fileno())
    handler.setFormatter(
        JsonFormatter(
            FIELDS,
            rename_fields={
                "asctime": "time",
                "levelname": "level",
                "name": "logger",
            },
            static_fields={"vm": vm, "role": role},
            reserved_attrs=[*_standard_attributes(), "expendable"],
        )
    )
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    atexit.register(handler.flush)
    return handler


def _standard_attributes() -> list[str]:
    """Return the names of the attributes that every log record has.

    The formatter must not write them as extra fields.
    """
    return list(logging.makeLogRecord({}).__dict__)


__all__ = ["configure_logging"]
