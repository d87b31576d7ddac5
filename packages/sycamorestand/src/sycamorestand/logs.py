"""Structured logs: one JSON object a line on standard error."""

from __future__ import annotations

import logging
from typing import Final

from pythonjsonlogger.json import JsonFormatter

FIELDS: Final = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logging(vm: str, role: str, level: str) -> None:
    """Send every record, with this process's name in it, to stderr."""
    handler = logging.StreamHandler()
    handler.setFormatter(
        JsonFormatter(
            FIELDS,
            rename_fields={
                "asctime": "time",
                "levelname": "level",
                "name": "logger",
            },
            static_fields={"vm": vm, "role": role},
        )
    )
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)


__all__ = ["configure_logging"]
