"""Log lines of fields, ``name=value``, written through absl.

Every line carries the process and the version of the program.  A field's name is one of
:class:`Field`; none of them is made for prompt text, bodies, headers or keys, and messages of
errors, which may quote a caller, are left out in favour of their codes.
"""

import enum
import json
import logging as standard_logging
from collections.abc import Mapping
from importlib.metadata import version

from absl import logging

MAXIMUM_VALUE_CHARACTERS = 80
"""Longest value written; callers choose some of them."""

_PLAIN = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:/-")

Value = str | int | float


class Field(enum.StrEnum):
    """Names of fields."""

    EVENT = "event"
    PROCESS = "process"
    VERSION = "version"
    REQUEST_ID = "request_id"
    CALLER_ID = "caller_request_id"
    TENANT = "tenant"
    MODEL = "model"
    CODE = "code"
    RAN = "ran"
    FIRST_TOKEN_MS = "first_token_ms"
    DURATION_MS = "duration_ms"
    REVISION = "revision"


def format_fields(fields: Mapping[Field, Value]) -> str:
    """Return ``name=value`` pairs; values with other than plain characters are quoted."""
    return " ".join(f"{name.value}={_formatted(value)}" for name, value in fields.items())


def log_event(level: int, event: str, fields: Mapping[Field, Value]) -> None:
    """Write one line about an event at an absl level."""
    logging.log(level, "%s", format_fields({Field.EVENT: event, **fields}))


def identify_process(name: str) -> None:
    """Put the process's name and the program's version into every later line."""
    identity = format_fields({Field.PROCESS: name, Field.VERSION: version("martenrun")})
    handler = logging.get_absl_handler()
    handler.setFormatter(_IdentityFormatter(identity))


class _IdentityFormatter(logging.PythonFormatter):
    def __init__(self, identity: str) -> None:
        super().__init__()
        self._identity = identity

    def format(self, record: standard_logging.LogRecord) -> str:
        return f"{super().format(record)} {self._identity}"


def _formatted(value: Value) -> str:
    if isinstance(value, float):
        return f"{value:.1f}"
    text = str(value)[:MAXIMUM_VALUE_CHARACTERS]
    return text if text and _PLAIN.issuperset(text) else json.dumps(text)
