"""Limits of one pool's scaling."""

from typing import Annotated

from msgspec import Meta, Struct


class ScalingLimits(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """When the system moves runners to or from a pool; part of the pool's object.

    Attributes:
        wait_s: expected wait in the queues above which the pool needs runners, in seconds.
        pressure_s: how long it must last; twice the wait counts twice, up to four times.
        load_s: expected time of one load, which the pressure must outlast too, in seconds.
        room_s: the pool gives a runner away if it could have spared it all this time, in seconds.
        busy_share: largest share of the other runners' slots used in that time.
        cool_down_s: a pool that got a runner gives none away for so long, and the other way
            round, in seconds.
        give_up_s: a runner that does not arrive for so long is sent back, in seconds.
    """

    wait_s: Annotated[float, Meta(gt=0, le=600)] = 2.0
    pressure_s: Annotated[float, Meta(ge=1, le=3_600)] = 30.0
    load_s: Annotated[float, Meta(ge=0, le=3_600)] = 60.0
    room_s: Annotated[float, Meta(ge=1, le=86_400)] = 60.0
    busy_share: Annotated[float, Meta(gt=0, le=1)] = 0.7
    cool_down_s: Annotated[float, Meta(ge=0, le=86_400)] = 300.0
    give_up_s: Annotated[float, Meta(ge=30, le=86_400)] = 900.0
