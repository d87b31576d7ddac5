"""Structured logs: one JSON object a line on standard output."""

from __future__ import annotations

import atexit
import logging
import sys
from typing import Final

from pythonjsonlogger.json import JsonFormatter

from sycamorestand.bounded_output import BoundedOutput

FIELDS: Final = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logging(vm: str, role: str, level: str) -> BoundedOutput:
    """Send every record, with this process's name in it, to stdout."""
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
    """Return the attributes of every record, which are no fields."""
    return list(logging.makeLogRecord({}).__dict__)


__all__ = ["configure_logging"]
