"""A store in virtual time that returns from older copies, and routers that compete for a lease."""

import copy

from martenrun.net.http import HttpResponse
from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.lease import Lease
from martenrun.router.store.client import StoreClient
from martenrun.router.store.eras import StoreEras

from .fakes import FakeStore
from .lease_world import LEASE_S, LeaseContenders

DRILL_SHARE = 0.15
"""Share of the random actions that are drills."""

LATE_WRITE_SHARE = 0.3
"""Share of the unanswered writes that are applied seconds later."""


class RestoringStore(FakeStore):
    """Names its era in each response; writes whose response is lost may be applied later."""

    def __init__(self, loop):
        super().__init__(loop)
        self.era = 1
        self.rng = None
        self._states = []

    def call(self, call, timeout_s, on_response, *_more):
        self._states.append((self.loop.now(), copy.deepcopy(self.objects), self.revision))
        is_write = call.method != b"GET"
        if self.is_silent and is_write and self.rng and self.rng.random() < LATE_WRITE_SHARE:
            self.loop.call_later(self.rng.uniform(1.0, 6.0), lambda: self._serve(call))
        super().call(call, timeout_s, on_response)

    def restore(self, age_s, revision=None):
        """Return to the state of some time ago, in a new era."""
        states = [item for item in self._states if item[0] <= self.loop.now() - age_s]
        _, objects, copied = states[-1] if states else (0.0, {}, 0)
        self.objects = copy.deepcopy(objects)
        self.revision = copied if revision is None else revision
        self.era += 1

    def _serve(self, call):
        name = call.target.decode().rsplit("/", 1)[-1]
        if call.method == b"PUT" and name not in self.objects:
            return HttpResponse(404, self._headers(), b"")
        response = super()._serve(call)
        return HttpResponse(response.status, self._headers(), response.body)

    def _headers(self):
        return [(b"Store-Era", str(self.era).encode())]


def make_era_lease(loop, store, holder):
    """Return a lease of a router that has just started."""
    eras = StoreEras(loop.now)
    client = StoreClient(store, PLATFORM_ADAPTER.read_era, eras)
    return Lease(loop, client, PLATFORM_ADAPTER, "weights", holder, LEASE_S, eras=eras)


class DrillContenders(LeaseContenders):
    """Routers that compete for a lease while the store returns from copies."""

    def __init__(self, loop, store, rng, runners):
        self.drills = 0
        store.rng = rng
        super().__init__(loop, store, rng, runners)

    def new_incarnation(self, name):
        return make_era_lease(self.loop, self.store, f"{name}#{next(self.incarnations)}")

    def apply_random_action(self):
        if self.rng.random() >= DRILL_SHARE:
            super().apply_random_action()
            return
        self.drills += 1
        before = self.store.revision
        is_beyond = self.rng.random() < 0.3
        self.store.restore(self.rng.uniform(0.0, 8.0), before + 3 if is_beyond else None)
