"""Messages of an owner to the homes that ask it.

See also: :mod:`martenrun.ownership.owner`.
"""

from martenrun.constants import DEFAULT_BLOCK_BYTES
from martenrun.events import Instruction, Send
from martenrun.limits.cost import BYTES_PER_TOKEN
from martenrun.ownership.pool_ids import incarnation_id
from martenrun.ownership.slots import LeaseKey, RunnerSlots
from martenrun.wire.messages import ReserveSlot, SlotGranted, SlotsQueued


def without_what_is_known(granted: SlotGranted, asked: ReserveSlot) -> SlotGranted:
    """Leave out of a grant what its reservation has shown to be known."""
    if incarnation_id(granted.incarnation) == asked.known_incarnation:
        granted.incarnation = ""
    if granted.weights_version == asked.weights_version:
        granted.weights_version = ""
    return granted


def queued(key: LeaseKey, runner: RunnerSlots, wait_ms: int) -> Instruction:
    """Tell a home that its reservation waits."""
    queued = SlotsQueued([key.reservation_id], [wait_ms], [runner.free_less_waiting])
    return Send(key.home, queued)


def placed_blocks(cost_tokens: float) -> int:
    """Return about how many blocks of a runner's cache a request of this cost fills.

    The owner knows the cost alone; blocks are taken as of the default length.
    """
    return int(cost_tokens * BYTES_PER_TOKEN / DEFAULT_BLOCK_BYTES)
