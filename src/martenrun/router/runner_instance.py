"""Keys that distinguish the instances of a runner, that is, successive starts under the same id.

A restarted runner may keep its id but has lost its cache and its requests.  All tables and all
messages between routers therefore identify a runner by the key of its instance.  When the entry of
a new instance arrives, the state of the previous one is no longer looked up, and late updates about
it match no runner.

The newer of two instances is determined by the revisions of the store and never by start times,
because the runner's clock may have been set back between two starts.
"""

START_TIME_DIGITS = 5
"""Hexadecimal digits of the start time in a key; successive starts collide once in a million."""


def instance_key(name: str, born_ms: int | None) -> str:
    """Return the key of a runner instance.

    Args:
        name: id of the runner, which is the same for all its instances.
        born_ms: start time by the runner's own clock, in milliseconds; None if not reported.
    """
    if born_ms is None:
        return name
    return f"{name}~{born_ms % 16**START_TIME_DIGITS:0{START_TIME_DIGITS}x}"
