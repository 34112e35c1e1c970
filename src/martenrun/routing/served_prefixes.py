"""What an owner remembers of prefixes that its runners served, for homes.

Only a prefix's home knows where it has placed it, and a home that restarts has forgotten.  The
owner of a runner remembers the first block of each grant.  A node asks all others, with its
first question as a home, which prefixes they have granted to it; a prefix that it has placed
anew by then stays there.

A home knows only its own prefixes, and those of the others fill the same caches.  So each
grant tells how many blocks all homes have placed on its runner.

See also: :meth:`martenrun.routing.placement.Placement.settle`.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from martenrun.constants import BLOCK_HASH_BYTES
from martenrun.events import Event, Instruction, PeerMessage, Send
from martenrun.routing.placement import UNUSED_S, Placement
from martenrun.wire.messages import DecideRequest, PrefixesQuery, PrefixesServed

MAXIMUM_SERVED = 16_384
"""Prefixes that an owner remembers; the one granted longest ago is forgotten first."""

MAXIMUM_TOLD = 512
"""Most prefixes told to one home of one runner; the ones granted last."""

ASKING_S = 10.0
"""Time from a node's first question in which it asks every node it learns of, in seconds."""


@dataclass(frozen=True, slots=True)
class ServedPrefix:
    """A prefix of a home, by its first block."""

    home: str
    first_block: bytes


@dataclass(frozen=True, slots=True)
class LastGrant:
    """The run of a runner that a prefix was granted last, when, and its longest prompt."""

    runner: str
    incarnation: str
    at: float
    blocks: int


class ServedPrefixes:
    """The last run of each prefix among an owner's runners."""

    def __init__(self) -> None:
        self._served: dict[ServedPrefix, LastGrant] = {}
        self._present: dict[str, str] = {}
        self._blocks: dict[str, int] = {}

    def granted(
        self, home: str, runner: str, incarnation: str, chain: bytes, blocks: int, now: float
    ) -> None:
        """A home has been granted a slot for a prompt of ``blocks`` that begins with this chain."""
        self._present[runner] = incarnation
        if not chain:
            return
        prefix = ServedPrefix(home, chain[:BLOCK_HASH_BYTES])
        before = self._served.pop(prefix, None)
        if before is not None:
            self._count(before.runner, -before.blocks)
            blocks = max(blocks, before.blocks)
        self._served[prefix] = LastGrant(runner, incarnation, now, blocks)
        self._count(runner, blocks)
        if len(self._served) > MAXIMUM_SERVED:
            self._forget_oldest()

    def blocks_on(self, runner: str, now: float) -> int:
        """Return the blocks of the prefixes whose last grant was at a runner, and not long ago."""
        while self._served and now - next(iter(self._served.values())).at >= UNUSED_S:
            self._forget_oldest()
        return self._blocks.get(runner, 0)

    def _forget_oldest(self) -> None:
        grant = self._served.pop(next(iter(self._served)))
        self._count(grant.runner, -grant.blocks)

    def _count(self, runner: str, blocks: int) -> None:
        left = self._blocks.get(runner, 0) + blocks
        if left > 0:
            self._blocks[runner] = left
        else:
            self._blocks.pop(runner, None)

    def of_home(self, home: str, now: float) -> list[PrefixesServed]:
        """Return which prefixes were granted to a home and may still be held."""
        told: dict[str, PrefixesServed] = {}
        for prefix, grant in reversed(self._served.items()):
            if prefix.home != home or self._present.get(grant.runner) != grant.incarnation:
                continue
            message = told.setdefault(grant.runner, PrefixesServed(grant.runner))
            if len(message.ages_ms) < MAXIMUM_TOLD:
                message.first_blocks += prefix.first_block
                message.ages_ms.append(int((now - grant.at) * 1000))
        return list(told.values())


class ServedPrefixesLogic:
    """Asks other nodes once what they granted to this one, and answers them.

    Args:
        served: what this node has granted as an owner.
        placement: where this node has placed prefixes as a home.
        live_nodes: returns the addresses of the other nodes that are alive.
    """

    handles = frozenset({DecideRequest, PrefixesQuery, PrefixesServed})

    def __init__(
        self,
        served: ServedPrefixes,
        placement: Placement,
        live_nodes: Callable[[], Sequence[str]],
    ) -> None:
        self._served = served
        self._placement = placement
        self._live_nodes = live_nodes
        self._asked: set[str] = set()
        self._until: float | None = None

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        match event:
            case PeerMessage(_, DecideRequest()):
                return self._ask(now)
            case PeerMessage(home, PrefixesQuery()):
                return [Send(home, message) for message in self._served.of_home(home, now)]
            case PeerMessage(_, PrefixesServed(runner, first_blocks, ages_ms)):
                for number, age_ms in enumerate(ages_ms):
                    start = number * BLOCK_HASH_BYTES
                    block = first_blocks[start : start + BLOCK_HASH_BYTES]
                    self._placement.settle(block, runner, now - age_ms / 1000)
        return []

    def _ask(self, now: float) -> list[Instruction]:
        if self._until is None:
            self._until = now + ASKING_S
        if now >= self._until:
            return []
        new = [node for node in self._live_nodes() if node not in self._asked]
        self._asked.update(new)
        return [Send(node, PrefixesQuery()) for node in new]
