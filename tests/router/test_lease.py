"""The lease on orders: one holder at a time, tokens that only rise, no turns within its length."""

import itertools
import random

import pytest

from martenrun.platform import DIALECT
from martenrun.router.lease import Lease
from martenrun.router.messages import LeaseRecord

from .fakes import FakeLoop, FakeStore, read_lease

LEASE_S = 3.0


@pytest.fixture
def loop():
    return FakeLoop()


@pytest.fixture
def store(loop):
    return FakeStore(loop)


def made(loop, store, holder):
    return Lease(loop, store, DIALECT, "weights", holder, LEASE_S)


RUNNER = "r1"


def order(loop, lease, runner=RUNNER):
    """Reserve a runner and order it; return when."""
    done = []
    lease.reserve([runner], done.append)
    loop.run_until(loop.now() + 0.01)
    assert done == [True] and lease.may_order(runner)
    lease.note_order(runner)
    return loop.now()


def pursue_for(loop, leases, seconds, rank=0):
    """Let leases pursue every tenth of a second; return who held it when."""
    held = []
    end = loop.now() + seconds
    while loop.now() < end:
        for lease in leases:
            lease.pursue(rank)
        loop.run_until(loop.now() + 0.1)
        held += [(loop.now(), lease) for lease in leases if lease.is_held()]
    return held


def test_one_of_many_holds_it_and_keeps_it(loop, store):
    leases = [made(loop, store, f"n{number}") for number in range(5)]
    held = pursue_for(loop, leases, 12.0)
    assert len({id(lease) for _, lease in held}) == 1
    assert {spec["fence_token"] for _, spec in store.writes} == {1}


def test_renewals_change_the_object(loop, store):
    """A write that changes nothing gives no revision, and another could replace it."""
    pursue_for(loop, [made(loop, store, "n1")], 4.0)
    revisions = [spec["renewals"] for _, spec in store.writes]
    assert len(revisions) >= 2
    assert revisions == sorted(set(revisions))


def test_a_dead_holders_lease_is_taken_after_its_whole_length(loop, store):
    first, second = made(loop, store, "n1"), made(loop, store, "n2")
    pursue_for(loop, [first, second], 2.0)
    assert first.is_held()
    last_write = store.writes[-1][0]
    held = pursue_for(loop, [second], 6.0)
    taken_at = held[0][0]
    assert taken_at >= last_write + LEASE_S
    assert second.fencing_token > first.fencing_token


def test_the_holder_stops_before_another_can_take_it(loop, store):
    first, second = made(loop, store, "n1"), made(loop, store, "n2")
    pursue_for(loop, [first, second], 2.0)
    store.is_silent = True
    both = []
    for _ in range(60):
        first.pursue(0)
        loop.run_until(loop.now() + 0.1)
        store.is_silent = False
        second.pursue(0)
        store.is_silent = True
        both.append(first.is_held() and second.is_held())
    assert not any(both)


def test_a_write_whose_answer_was_lost_is_not_taken_for_another_holders(loop, store):
    lease = made(loop, store, "n1")
    store.loses_answers = True
    pursue_for(loop, [lease], 1.0)
    assert not lease.is_held()
    store.loses_answers = False
    pursue_for(loop, [lease], 1.0)
    assert lease.is_held()
    assert lease.fencing_token == read_lease(store, "weights").fencing_token


def test_a_taker_after_gossip_raises_the_token_told_there(loop, store):
    first, second = made(loop, store, "n1"), made(loop, store, "n2")
    pursue_for(loop, [first], 1.0)
    second.note_revision(LeaseRecord("n1", first.fencing_token), first.revision)
    assert not second.is_held()
    pursue_for(loop, [second], 4.0)
    assert second.is_held()
    assert second.fencing_token > first.fencing_token


def test_a_router_of_higher_rank_takes_an_expired_lease_later(loop, store):
    first = made(loop, store, "n1")
    pursue_for(loop, [first], 0.5)
    waiting = made(loop, store, "n2")
    waiting.note_revision(LeaseRecord("n1", 1), first.revision)
    began = loop.now()
    held = pursue_for(loop, [waiting], 8.0, rank=4)
    assert held[0][0] - began >= LEASE_S + 4 * 0.25


def test_a_holder_that_finds_another_stops_at_once(loop, store):
    first, second = made(loop, store, "n1"), made(loop, store, "n2")
    pursue_for(loop, [first], 0.5)
    store.objects["weights"]["spec"] = {"holder": "n9", "fence_token": 7, "renewals": 1}
    store.revision += 1
    store.objects["weights"]["metadata"]["revision"] = store.revision
    loop.run_until(loop.now() + 1.7)
    pursue_for(loop, [first], 0.3)
    assert not first.is_held()
    pursue_for(loop, [second], 4.0)
    assert second.fencing_token == 8


def test_a_lease_given_up_is_taken_at_once_and_orders_wait_for_the_last_one(loop, store):
    first, second = made(loop, store, "n1#1"), made(loop, store, "n2#1")
    pursue_for(loop, [first, second], 2.0)
    ordered_at = order(loop, first)
    loop.run_until(loop.now() + 1.0)
    first.release(lambda record, revision: second.note_revision(record, revision))
    held = pursue_for(loop, [second], 1.0)
    assert held[0][0] < ordered_at + 1.3
    assert ordered_at + LEASE_S <= second.turns.orders_from(RUNNER) < ordered_at + LEASE_S + 0.3
    assert second.fencing_token > first.fencing_token
    assert not first.is_held()


def test_whoever_reads_a_lease_that_was_given_up_takes_it_at_once(loop, store):
    """The news that it was given up may be lost."""
    first, second = made(loop, store, "n1#1"), made(loop, store, "n2#1")
    pursue_for(loop, [first], 1.0)
    first.release(lambda *_: None)
    held = pursue_for(loop, [second], 1.0)
    assert held
    assert second.turns.orders_from(RUNNER) <= loop.now()


def test_a_lease_given_up_is_not_taken_again_by_that_life(loop, store):
    first = made(loop, store, "n1#1")
    pursue_for(loop, [first], 1.0)
    first.release(lambda *_: None)
    assert pursue_for(loop, [first], 8.0) == []


def test_a_restarted_holder_goes_on_at_once_under_a_higher_token(loop, store):
    first = made(loop, store, "n1#1")
    pursue_for(loop, [first], 1.0)
    order(loop, first)
    again = made(loop, store, "n1#2")
    began = loop.now()
    held = pursue_for(loop, [again], 1.0, rank=3)
    assert held[0][0] - began < 0.5
    assert again.turns.orders_from(RUNNER) <= loop.now()
    assert again.fencing_token > first.fencing_token


def test_a_restarted_holder_keeps_the_pause_of_its_life_before(loop, store):
    dead, first = made(loop, store, "n0#1"), made(loop, store, "n1#1")
    pursue_for(loop, [dead, first], 1.0)
    order(loop, dead)
    first.note_revision(LeaseRecord("n0#1", dead.fencing_token), dead.revision)
    held = pursue_for(loop, [first], 4.0)
    assert held[-1][0] < first.turns.orders_from(RUNNER)
    again = made(loop, store, "n1#2")
    pursue_for(loop, [again], 0.5)
    assert again.is_held()
    assert again.turns.orders_from(RUNNER) >= first.turns.orders_from(RUNNER) - 0.01


def test_a_lease_that_ended_long_ago_brings_no_pause(loop, store):
    first, second = made(loop, store, "n1#1"), made(loop, store, "n2#1")
    pursue_for(loop, [first, second], 1.0)
    loop.run_until(loop.now() + 10.0)
    pursue_for(loop, [second], 0.5)
    assert second.is_held()
    assert second.turns.orders_from(RUNNER) <= loop.now()


def test_a_lost_answer_to_a_takeover_takes_no_pause_away(loop, store):
    first, second = made(loop, store, "n1#1"), made(loop, store, "n2#1")
    pursue_for(loop, [first], 1.0)
    last_order_at = order(loop, first)
    pursue_for(loop, [second], 0.1)
    store.loses_answers = True
    pursue_for(loop, [second], 3.9)
    assert read_lease(store, "weights").holder == "n2#1"
    store.loses_answers = False
    pursue_for(loop, [second], 1.5)
    assert second.is_held()
    assert second.turns.orders_from(RUNNER) >= last_order_at + LEASE_S


ACTIONS = (
    "die",
    "die",
    "restart",
    "release",
    "silence",
    "lose answers",
    "heal",
    "heal",
    "heal",
    "pause",
)


class Crowd:
    """Routers that pursue one lease while they are restarted, stopped and cut from the store."""

    def __init__(self, loop, store, rng, runners=(RUNNER,)):
        self.runners = runners
        self.loop = loop
        self.store = store
        self.rng = rng
        self.lives = itertools.count(1)
        self.orders = []
        self.routers = {name: self.new_life(name) for name in ("n1", "n2", "n3")}

    def start(self, name):
        self.routers[name] = self.new_life(name)

    def new_life(self, name):
        return made(self.loop, self.store, f"{name}#{next(self.lives)}")

    def tell(self, name):
        def told(record, revision):
            for other, lease in self.routers.items():
                if other != name and self.rng.random() < 0.7:
                    lease.note_revision(record, revision)

        return told

    def act(self):
        name = self.rng.choice(list(self.routers))
        action = self.rng.choice(ACTIONS)
        if action == "restart":
            self.routers[name] = self.new_life(name)
        elif action == "die" and len(self.routers) > 1:
            del self.routers[name]
            self.loop.call_later(self.rng.uniform(0.5, 12.0), lambda: self.start(name))
        elif action == "release":
            self.routers[name].release(self.tell(name))
            self.loop.run_until(self.loop.now() + 0.05)
            self.routers[name] = self.new_life(name)
        elif action == "pause":
            self.loop.run_until(self.loop.now() + self.rng.choice((0.5, 4.0)))
        elif action in ("silence", "lose answers", "heal"):
            self.store.is_silent = action == "silence"
            self.store.loses_answers = action == "lose answers"

    def order(self):
        """Let every holder order the runners that it may, and reserve some that it has not."""
        for name, lease in self.routers.items():
            for runner in self.runners:
                if lease.may_order(runner):
                    lease.note_order(runner)
                    self.orders.append((self.loop.now(), name, lease.fencing_token, runner))
                    if self.rng.random() < 0.1:
                        lease.turns.finish(runner)
                elif lease.is_held() and not lease.turns.is_reserved(runner):
                    lease.reserve([runner], lambda _done: None)

    def run(self, seconds):
        end = self.loop.now() + seconds
        while self.loop.now() < end:
            if self.rng.random() < 0.08:
                self.act()
            for rank, lease in enumerate(self.routers.values()):
                lease.pursue(rank)
            self.loop.run_until(self.loop.now() + 0.1)
            self.order()


@pytest.mark.parametrize("seed", range(40))
@pytest.mark.parametrize("runners", [("r1",), ("r1", "r2", "r3")], ids=["one", "three"])
def test_orders_of_two_routers_to_a_runner_always_lie_a_lease_apart(loop, store, seed, runners):
    """Orders are judged at each runner; with one runner, over all orders."""
    crowd = Crowd(loop, store, random.Random(seed), runners)
    crowd.run(400.0)
    for runner in runners:
        orders = [order for order in crowd.orders if order[3] == runner]
        for (earlier_at, earlier, low, _), (later_at, later, high, _) in itertools.pairwise(orders):
            assert low <= high
            if earlier != later:
                assert low < high
                assert later_at - earlier_at >= LEASE_S - 1e-6
        assert len({name for _, name, *_ in orders}) > 1
    tokens = [token for _, _, token, _ in crowd.orders]
    assert tokens == sorted(tokens)


def test_a_successor_orders_at_once_whom_the_dead_holder_had_not_reserved(loop, store):
    """Callers had no runner with weights in time while three holders ended in turn (seed 1008)."""
    first, second = made(loop, store, "n1#1"), made(loop, store, "n2#1")
    pursue_for(loop, [first, second], 1.0)
    order(loop, first, "r1")
    second.note_revision(LeaseRecord("n1#1", first.fencing_token), first.revision)
    died_at = loop.now()
    pursue_for(loop, [second], 3.6)
    order(loop, second, "r2")
    assert loop.now() - died_at < 2 * LEASE_S - 2.0
    assert second.turns.orders_from("r1") >= died_at + LEASE_S


def test_reservations_and_orders_outlast_a_restart_of_the_holder(loop, store):
    first, again = made(loop, store, "n1#1"), made(loop, store, "n1#2")
    pursue_for(loop, [first], 1.0)
    ordered_at = order(loop, first)
    pursue_for(loop, [again], 0.5)
    third = made(loop, store, "n3#1")
    again.release(lambda record, revision: third.note_revision(record, revision))
    pursue_for(loop, [third], 0.5)
    assert third.is_held()
    assert third.turns.orders_from(RUNNER) >= ordered_at + LEASE_S


def test_a_runner_is_not_ordered_before_its_reservation_is_stored(loop, store):
    lease = made(loop, store, "n1#1")
    pursue_for(loop, [lease], 1.0)
    store.loses_answers = True
    done = []
    lease.reserve([RUNNER], done.append)
    loop.run_until(loop.now() + 1.0)
    assert done == [False] and not lease.may_order(RUNNER)


def test_after_a_holder_of_an_older_version_every_runner_waits(loop, store):
    """Its record does not tell whom it has ordered."""
    old, second = made(loop, store, "n1#1"), made(loop, store, "n2#1")
    pursue_for(loop, [old, second], 1.0)
    del store.objects["weights"]["spec"]["ordered_ms"]
    died_at = loop.now()
    second._seen = None
    pursue_for(loop, [second], 4.0)
    assert second.is_held()
    assert second.turns.orders_from("r9") >= died_at + LEASE_S
    third = made(loop, store, "n3#1")
    second.release(lambda record, revision: third.note_revision(record, revision))
    pursue_for(loop, [third], 0.5)
    assert third.turns.orders_from("r9") >= died_at + LEASE_S


def test_a_lease_given_up_within_its_pause_keeps_the_next_one_waiting(loop, store):
    names = ("n1#1", "n2#1", "n3#1")
    first, second, third = (made(loop, store, name) for name in names)
    pursue_for(loop, [first, second], 1.0)
    ordered_at = order(loop, first)
    first.release(lambda record, revision: second.note_revision(record, revision))
    pursue_for(loop, [second], 0.5)
    second.release(lambda record, revision: third.note_revision(record, revision))
    pursue_for(loop, [third], 0.5)
    assert third.is_held()
    assert third.turns.orders_from(RUNNER) >= ordered_at + LEASE_S


def test_how_long_versions_have_been_known_outlasts_a_loss_of_power(loop, store):
    """All routers restart at once: none of them knows since when older weights are too old."""
    known = {"m": [(2, 9_000), (3, 4_000)]}
    first = Lease(loop, store, DIALECT, "weights", "n1#1", LEASE_S, lambda: known)
    pursue_for(loop, [first], 2.0)
    learned = []
    restarted = Lease(loop, store, DIALECT, "weights", "n2#9", LEASE_S, dict, learned.append)
    pursue_for(loop, [restarted], 0.2)
    assert learned[0] == known
    held = pursue_for(loop, [restarted], 6.0)
    assert held


def test_a_reservation_that_is_given_up_meanwhile_keeps_no_other_waiting(loop, store):
    """Its runner is gone: the lease object was written anew ten times a second for it."""
    lease = made(loop, store, "n1#1")
    pursue_for(loop, [lease], 1.0)
    done = []
    lease.reserve(["r1"], lambda _stored: None)
    lease.reserve(["r2", "r3"], done.append)
    lease.turns.finish("r2")
    writes = len(store.writes)
    pursue_for(loop, [lease], 1.0)
    assert done == [True] and lease.may_order("r3")
    assert len(store.writes) - writes <= 4


def test_a_runner_ordered_before_is_not_taken_for_reserved(loop, store):
    """The write under way tells of its last order only."""
    lease = made(loop, store, "n1#1")
    pursue_for(loop, [lease], 1.0)
    order(loop, lease)
    lease.turns.finish(RUNNER)
    done = []
    lease.reserve(["r2"], lambda _stored: None)
    lease.reserve([RUNNER], lambda stored: done.append((stored, lease.may_order(RUNNER))))
    pursue_for(loop, [lease], 0.5)
    assert done == [(True, True)]
