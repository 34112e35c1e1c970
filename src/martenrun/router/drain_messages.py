"""Datagrams in which routers tell each other of runners that have announced a drain."""

import msgspec


class DrainUpdate(msgspec.Struct, array_like=True, tag="drain"):
    """Runner instances whose responses announce that they will stop."""

    instances: list[str]
