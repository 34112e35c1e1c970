"""Simulates routers that compete for the lease on orders, in virtual time."""

import itertools

from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.lease import Lease

LEASE_S = 3.0


def make_lease(loop, store, holder):
    return Lease(loop, store, PLATFORM_ADAPTER, "weights", holder, LEASE_S)


RUNNER = "r1"


def order(loop, lease, runner=RUNNER):
    """Reserve a runner and order it; return the time of the order."""
    done = []
    lease.reserve([runner], done.append)
    loop.run_until(loop.now() + 0.01)
    assert done == [True] and lease.may_order(runner)
    lease.record_order(runner)
    return loop.now()


def run_leases(loop, leases, seconds, rank=0):
    """Let routers acquire or renew the lease every 0.1 s; return (time, lease) while it is held."""
    held = []
    end = loop.now() + seconds
    while loop.now() < end:
        for lease in leases:
            lease.acquire_or_renew(rank)
        loop.run_until(loop.now() + 0.1)
        held += [(loop.now(), lease) for lease in leases if lease.is_held()]
    return held


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


class LeaseContenders:
    """Routers that compete for a lease through restarts, pauses and failures of the store."""

    def __init__(self, loop, store, rng, runners=(RUNNER,)):
        self.runners = runners
        self.loop = loop
        self.store = store
        self.rng = rng
        self.incarnations = itertools.count(1)
        self.orders = []
        self.routers = {name: self.new_incarnation(name) for name in ("n1", "n2", "n3")}

    def start(self, name):
        self.routers[name] = self.new_incarnation(name)

    def new_incarnation(self, name):
        return make_lease(self.loop, self.store, f"{name}#{next(self.incarnations)}")

    def release_callback(self, name):
        def on_released(record, position):
            for other, lease in self.routers.items():
                if other != name and self.rng.random() < 0.7:
                    lease.record_position(record, position)

        return on_released

    def apply_random_action(self):
        name = self.rng.choice(list(self.routers))
        action = self.rng.choice(ACTIONS)
        if action == "restart":
            self.routers[name] = self.new_incarnation(name)
        elif action == "die" and len(self.routers) > 1:
            del self.routers[name]
            self.loop.call_later(self.rng.uniform(0.5, 12.0), lambda: self.start(name))
        elif action == "release":
            self.routers[name].release(self.release_callback(name))
            self.loop.run_until(self.loop.now() + 0.05)
            self.routers[name] = self.new_incarnation(name)
        elif action == "pause":
            self.loop.run_until(self.loop.now() + self.rng.choice((0.5, 4.0)))
        elif action in ("silence", "lose answers", "heal"):
            self.store.is_silent = action == "silence"
            self.store.loses_answers = action == "lose answers"

    def give_orders(self):
        """Let each holder order the runners that it may order and reserve the others."""
        for name, lease in self.routers.items():
            for runner in self.runners:
                if lease.may_order(runner):
                    lease.record_order(runner)
                    self.orders.append((self.loop.now(), name, lease.fencing_token, runner))
                    if self.rng.random() < 0.1:
                        lease.order_schedule.cancel(runner)
                elif lease.is_held() and not lease.order_schedule.is_reserved(runner):
                    lease.reserve([runner], lambda _done: None)

    def run(self, seconds):
        end = self.loop.now() + seconds
        while self.loop.now() < end:
            if self.rng.random() < 0.08:
                self.apply_random_action()
            for rank, lease in enumerate(self.routers.values()):
                lease.acquire_or_renew(rank)
            self.loop.run_until(self.loop.now() + 0.1)
            self.give_orders()
