"""A runner's slots between a home node and the runner's owner.

See also: :mod:`martenrun.ownership.owner`.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class ReserveSlot:
    """Home to owner: reserve a slot of ``runner`` for one attempt.

    ``reservation_id`` is unique for the home, over its restarts too.  It is also the lease's
    identity once the slot is granted.  ``deadline_ms`` is the time left.
    An empty ``weights_version`` accepts any.  ``pool_id`` is a hash of the pool's name, so that a
    runner that has changed its pool serves no question for the pool it left; 0 is not compared.
    ``known_incarnation`` is a hash of the incarnation that the home knows of the runner.
    """

    reservation_id: int = 0
    runner: str = ""
    tenant: str = ""
    priority: int = 0
    cost_tokens: int = 0
    deadline_ms: int = 0
    may_queue: bool = False
    weights_version: str = ""
    chain: bytes = b""
    pool_id: int = 0
    known_incarnation: int = 0


@dataclass(slots=True)
class SlotGranted:
    """Owner to home: the slot is leased; ``free_slots`` as in :class:`RunnerLoad`, after it.

    An empty ``incarnation`` is the one that the home knew, an empty ``weights_version`` the one
    that it asked for.  ``placed_blocks`` counts the prefixes that all homes were granted at the
    runner lately, in blocks; 0 if the owner does not tell.
    """

    reservation_id: int = 0
    incarnation: str = ""
    weights_version: str = ""
    cached_blocks: int = 0
    free_slots: int = 0
    placed_blocks: int = 0


@dataclass(slots=True)
class PrefixesQuery:
    """Home to owner, once after its start: which prefixes did you grant to me?"""


@dataclass(slots=True)
class PrefixesServed:
    """Owner to home: first blocks of prompts that a runner served for it.

    Eight bytes each; ``ages_ms`` is the time since each one's last grant.
    """

    runner: str = ""
    first_blocks: bytes = b""
    ages_ms: list[int] = field(default_factory=list)


@dataclass(slots=True)
class SlotsQueued:
    """Owner to home: these reservations wait; repeated while they do.

    ``free_slots`` of each one's runner as in :class:`RunnerLoad`.
    """

    reservation_ids: list[int] = field(default_factory=list)
    expected_waits_ms: list[int] = field(default_factory=list)
    free_slots: list[int] = field(default_factory=list)


@dataclass(slots=True)
class RunnerLoad:
    """A hint about one runner; ``free_slots`` below zero counts waiting reservations."""

    runner: str = ""
    free_slots: int = 0


@dataclass(slots=True)
class SlotRefused:
    """Owner to home: no slot; ``reason`` is a :class:`martenrun.ownership.reasons.Reason`.

    ``free_slots`` of the asked runner as in :class:`RunnerLoad`, 0 if it may take no work.
    """

    reservation_id: int = 0
    reason: str = ""
    owner: str = ""
    expected_wait_ms: int = 0
    loads: list[RunnerLoad] = field(default_factory=list)
    free_slots: int = 0


@dataclass(slots=True)
class ReleaseSlots:
    """Home to owner: cancel these reservations or give back their leases."""

    reservation_ids: list[int] = field(default_factory=list)


@dataclass(slots=True)
class LeaseRenewal:
    """One lease that a home still uses."""

    reservation_id: int = 0
    runner: str = ""
    incarnation: str = ""


@dataclass(slots=True)
class RenewLeases:
    """Home to owner: keep these leases, or register them after the owner has changed."""

    leases: list[LeaseRenewal] = field(default_factory=list)


@dataclass(slots=True)
class LeasesVoided:
    """Owner to home: these leases ended without the home's release."""

    reservation_ids: list[int] = field(default_factory=list)
