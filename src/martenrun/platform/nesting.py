"""Limits what is read of JSON that others have written: its nesting and its integers.

Decoders and encoders recurse, so that how deep they get depends on the stack in use.  Values within
these limits can be decoded, passed on to other routers and decoded there.
"""

import re
from collections.abc import Callable
from typing import Any

import msgspec

MAX_LEVELS = 32
"""Maximum nesting of an object of the store; the platform's own have up to 7 levels."""

MAX_INTEGER = 2**63 - 1
"""Maximum integer; the minimum is ``-MAX_INTEGER - 1``."""

MAX_REPAIRED_BYTES = 16_000_000
"""Maximum size of a response that is repaired, since that takes time; lists have about 1 MB."""

_ITEM_LEVEL = 3
"""Level of the items of a list and of the events of a watch."""

_OBJECT_LEVEL = 4
"""Maximum level of the objects of a response: those of events."""

_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[\]{}]', re.DOTALL)
_OPENING = b"[{"
_CLOSING = b"]}"

_VALIDATE = msgspec.json.Decoder(msgspec.Raw).decode


def is_within_limits(value: Any, levels: int = MAX_LEVELS) -> bool:
    """Return whether a decoded value has at most so many levels and no integer out of range."""
    parts = [value]
    for level in range(levels + 1):
        contained: list[Any] = []
        for part in parts:
            if isinstance(part, dict | list):
                if level == levels:
                    return False
                contained.extend(part.values() if isinstance(part, dict) else part)
            elif isinstance(part, int) and not -MAX_INTEGER - 1 <= part <= MAX_INTEGER:
                return False
        parts = contained
    return True


def limit_nesting(body: bytes) -> bytes:
    """Replace what is nested too deep for any object of a response by null.

    What remains of such an object is still deeper than :data:`MAX_LEVELS`, so that it is not taken
    for one that was written so.
    """
    return _replace_containers(body, _OBJECT_LEVEL + MAX_LEVELS, lambda _: b"null")


def repair_response(body: bytes) -> bytes | None:
    """Return a response of the store with all objects that can be read; None if it is too large.

    Parts that are nested too deep are replaced by null, and so are malformed items.
    """
    if len(body) > MAX_REPAIRED_BYTES:
        return None
    return _replace_containers(limit_nesting(body), _ITEM_LEVEL, _replace_malformed)


def _replace_malformed(item: bytes) -> bytes:
    try:
        _VALIDATE(item)
    except (msgspec.MsgspecError, RecursionError):
        return b"null"
    return item


def _replace_containers(body: bytes, level: int, replace: Callable[[bytes], bytes]) -> bytes:
    """Replace the arrays and objects at a level, of which the outermost is 1; not recursive."""
    parts = []
    kept_from = opened_at = depth = 0
    for token in _TOKENS.finditer(body):
        character = body[token.start()]
        if character in _OPENING:
            depth += 1
            if depth == level:
                opened_at = token.start()
        elif character in _CLOSING:
            if depth == level:
                parts += [body[kept_from:opened_at], replace(body[opened_at : token.end()])]
                kept_from = token.end()
            depth -= 1
    return b"".join([*parts, body[kept_from:]])
