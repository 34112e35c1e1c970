"""Parts of slot ownership on their own: owner and home."""

import pytest

from martenrun.backends.engine import RunnerDescription
from martenrun.events import MachinesListed, PeerMessage, RunnerDescribed, Send, Tick
from martenrun.membership.view import StaticMemberView
from martenrun.node.runners import RunnerTable
from martenrun.ownership.owner import OwnerLogic
from martenrun.ownership.owners import OwnerMap
from martenrun.wire.messages import (
    LeaseRenewal,
    LeasesVoided,
    ReleaseSlots,
    RenewLeases,
    ReserveSlot,
    SlotGranted,
    SlotRefused,
    SlotsQueued,
)
from owned_machines import OTHER, OWN, machine


def described(name, running=0, incarnation="i1", slots=2):
    return RunnerDescribed(name, RunnerDescription(incarnation, "model", "v1", running, slots, 0))


class Owner:
    """An owner of one runner called ``r`` and the messages it sends."""

    def __init__(self, view=None):
        self.table = RunnerTable()
        self.logic = OwnerLogic(OwnerMap(view or StaticMemberView(OWN, [OWN])), self.table)
        self.now = 0.0
        self.tell(MachinesListed([machine("r")]))
        self.tell(Tick())
        self.tell(described("r"))

    def tell(self, event, after_s=0.0):
        self.now += after_s
        sent = [*self.table.handle(event, self.now), *self.logic.handle(event, self.now)]
        return [instruction.message for instruction in sent if isinstance(instruction, Send)]

    def reserve(self, identity, may_queue=True, version="v1", deadline_ms=5_000):
        message = ReserveSlot(identity, "r", "t", 0, 10, deadline_ms, may_queue, version)
        return self.tell(PeerMessage("home", message))

    def release(self, *identities):
        return self.tell(PeerMessage("home", ReleaseSlots(list(identities))))

    @property
    def leases(self):
        return len(self.logic.owned["r"].leases)


def test_a_repeated_reservation_takes_one_slot_and_gets_the_same_answer():
    owner = Owner()
    first, second = owner.reserve(1), owner.reserve(1)
    assert isinstance(first[0], SlotGranted) and first == second
    assert owner.leases == 1


def test_a_release_that_overtakes_or_repeats_leaves_nothing():
    owner = Owner()
    owner.release(1)
    assert owner.reserve(1) == []
    owner.reserve(2)
    owner.release(2)
    owner.release(2)
    assert owner.reserve(2) == []
    assert owner.leases == 0


def test_waiting_reservations_get_slots_in_turn_and_can_be_cancelled():
    owner = Owner()
    owner.reserve(1), owner.reserve(2)
    assert owner.reserve(3) == [SlotsQueued([3], [0], [-1])]
    assert owner.reserve(4) == [SlotsQueued([4], [0], [-2])]
    assert owner.reserve(5, may_queue=False)[0].free_slots == -2
    (note,) = owner.tell(Tick(), after_s=0.5)
    assert (note.reservation_ids, note.free_slots) == ([3, 4], [-2, -2])
    granted = owner.release(1)
    assert [(m.reservation_id, m.free_slots) for m in granted] == [(3, -1)]
    assert owner.release(4) == []


def test_a_grant_tells_what_all_homes_have_placed_on_its_runner():
    owner = Owner()
    for number, home in enumerate(["h1", "h2"], 1):
        message = ReserveSlot(number, "r", "t", 0, 9_500, 5_000, True, "v1", b"c" * 8)
        granted = owner.tell(PeerMessage(home, message))
        assert [answer.placed_blocks for answer in granted] == [9 * number]
        assert owner.tell(PeerMessage(home, message)) == granted


@pytest.mark.parametrize(
    ("spoil", "reason"),
    [
        (lambda owner: owner.tell(MachinesListed([machine("r", "leaving")])), "leaving"),
        (lambda owner: owner.tell(RunnerDescribed("r", None)), "unknown_runner"),
        (lambda owner: [owner.reserve(8), owner.reserve(9)], "full"),
    ],
)
def test_refusals_are_typed(spoil, reason):
    owner = Owner()
    spoil(owner)
    (refused,) = owner.reserve(1, may_queue=False)
    assert isinstance(refused, SlotRefused)
    assert refused.reason == reason
    assert owner.reserve(2, may_queue=False, version="v0")[0].reason != "granted"


def test_another_weights_version_is_refused_unless_any_will_do():
    owner = Owner()
    assert owner.reserve(1, version="v0")[0].reason == "stale_version"
    assert isinstance(owner.reserve(2, version="")[0], SlotGranted)


def test_a_member_that_joins_takes_over_and_the_old_owner_names_it():
    view = StaticMemberView(OWN, [OWN])
    owner = Owner(view)
    view.members = [OTHER]
    owner.reserve(1), owner.reserve(2), owner.reserve(3)
    flushed = owner.tell(Tick(), after_s=1.0)
    assert [(m.reservation_id, m.reason, m.owner) for m in flushed] == [
        (3, "not_owner", OTHER.address)
    ]


def test_a_new_incarnation_voids_leases_and_serves_the_queue():
    owner = Owner()
    for identity in (1, 2, 3):
        owner.reserve(identity)
    voided, granted = owner.tell(described("r", incarnation="i2"))
    assert voided == LeasesVoided([1, 2])
    assert (granted.reservation_id, granted.incarnation) == (3, "i2")


def test_work_of_an_earlier_owner_counts_until_its_leases_are_registered():
    owner = Owner()
    owner.tell(described("r", running=2))
    assert owner.reserve(1, may_queue=False)[0].reason == "full"
    renewal = RenewLeases([LeaseRenewal(7, "r", "i1"), LeaseRenewal(8, "r", "i1")])
    assert owner.tell(PeerMessage("home", renewal)) == []
    assert owner.leases == 2
    owner.release(7)
    assert isinstance(owner.reserve(2, may_queue=False)[0], SlotGranted)


def test_a_renewal_of_an_older_incarnation_is_void():
    owner = Owner()
    renewal = RenewLeases([LeaseRenewal(7, "r", "i0")])
    assert owner.tell(PeerMessage("home", renewal)) == [LeasesVoided([7])]


def test_a_lease_that_the_engine_never_shows_is_void_before_it_expires():
    owner = Owner()
    owner.reserve(1)
    voided = []
    for _poll in range(20):
        voided += owner.tell(described("r", running=0), after_s=0.5)
    assert voided == [LeasesVoided([1])]


def test_a_lease_lives_while_it_is_renewed_and_ends_when_its_home_is_gone():
    owner = Owner()
    owner.reserve(1), owner.reserve(2)
    voided = []
    for _second in range(40):
        owner.tell(described("r", running=2))
        owner.tell(PeerMessage("home", RenewLeases([LeaseRenewal(2, "r", "i1")])))
        voided += owner.tell(Tick(), after_s=1.0)
    assert voided == [LeasesVoided([1])]
    # The engine still runs both, so the runner is still full.
    owner.tell(described("r", running=2), after_s=3.0)
    owner.tell(described("r", running=2), after_s=3.0)
    assert owner.reserve(3, may_queue=False)[0].reason == "full"


def test_after_a_pause_an_owner_queues_until_a_machine_list_from_after_it():
    owner = Owner()
    owner.tell(Tick(), after_s=0.9)
    (granted,) = owner.reserve(1)
    assert isinstance(granted, SlotGranted)
    owner.tell(MachinesListed([machine("r")]), after_s=5.0)  # It waited during the pause.
    (queued,) = owner.reserve(2)
    assert isinstance(queued, SlotsQueued)
    owner.tell(Tick(), after_s=0.5)
    owner.tell(MachinesListed([machine("r", "leaving")]))
    (refused,) = owner.tell(Tick(), after_s=0.5)
    assert (refused.reservation_id, refused.reason) == (2, "leaving")


def test_after_a_pause_without_any_machine_list_an_owner_grants_again():
    owner = Owner()
    owner.tell(Tick(), after_s=5.0)
    owner.reserve(1, deadline_ms=20_000)
    for _ in range(5):
        assert not [m for m in owner.tell(Tick(), after_s=0.5) if isinstance(m, SlotGranted)]
    assert [m for m in owner.tell(Tick(), after_s=0.6) if isinstance(m, SlotGranted)]
