"""One start of a runner, told apart from earlier and later ones under the same id.

A runner that starts again may keep its id, and then holds and knows nothing of before.  All that is
believed of a runner is therefore kept under the key of one start, in every table and in all that
routers tell each other: once the entry of another start is known, beliefs of the one before are
under a key that nobody asks for, and late news of it finds no runner.

Which start is the newer one is told by the revisions of the store, never by the times of birth:
clocks may step back between two starts.
"""

DIGITS = 5
"""Hexadecimal digits of a birth in a key: two starts in a row have the same once in a million."""


def life_key(name: str, born_ms: int | None) -> str:
    """Return the key of one start of a runner.

    Args:
        name: its id, which stays the same.
        born_ms: when it started by its own clock, in milliseconds; None where it does not tell.
    """
    if born_ms is None:
        return name
    return f"{name}~{born_ms % 16**DIGITS:0{DIGITS}x}"
