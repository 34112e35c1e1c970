"""Simulates routers with one rate-limited runner in virtual time, with real gossip and accounts."""

import bisect

from martenrun.router.brittle_services import BrittleServices
from martenrun.router.quotas.limit import RUNNER_LIMIT_BOUNDS, RateLimit
from martenrun.router.response_metadata import AdvertisedLimit
from martenrun.router.runner_access import RunnerAccess
from martenrun.router.runner_limits import RunnerLimits

from .builders import state
from .quota_world import QuotaFleet

INSTANCE = "i-1"
KNOWN_WITHIN_S = 3.0
"""Time from the first response that advertises a limit until the bound holds, in seconds."""

HEAD_DELAY_S = (0.04, 0.8)
"""Range of the delay between a request and the head of its response, in seconds."""

STARTUP_GRACE_S = 1.0
"""Time after a router's start in which it may not have learned of the limit yet, in seconds."""


class LimitedRouter:
    """A router that tracks the runner's limit and sends requests to it."""

    def __init__(self, fleet, address):
        self.fleet = fleet
        self.address = address
        peers = fleet.world.routers[address]
        self.loop = peers._loop
        self.quotas = fleet.gates[address]
        self.state = state(INSTANCE)
        self.brittle = BrittleServices()
        self.runner_limits = RunnerLimits(peers.broadcast, self._on_changed, rng=fleet.rng)
        peers._on_update = lambda news: self.runner_limits.merge(news, self.loop.now())
        peers._updates_for_new_router = self._new_router_updates
        self._run_maintenance()

    @property
    def is_stopped(self):
        return self.fleet.limited.get(self.address) is not self

    def _on_changed(self, _instance):
        self.state.limited_until = 0.0

    def _new_router_updates(self, _routers):
        update = self.runner_limits.new_router_update(self.loop.now())
        return [] if update is None else [update]

    def _run_maintenance(self):
        if not self.is_stopped or self.address not in self.fleet.limited:
            if not self.fleet.world.routers[self.address].is_suspended:
                self.runner_limits.repeat_broadcasts(self.loop.now())
            self.loop.call_later(0.25, self._run_maintenance)

    def handle_request(self):
        """Handle one request for which the runner is the first choice."""
        access = RunnerAccess(self)
        if access.may_send(self.state):
            self._send(access)
        elif self.state.is_limited(self.loop.now()):
            self.fleet.skipped += 1
        else:
            access.obtain(self.state, lambda _grant: self._send_granted(access))

    def _send_granted(self, access):
        if access.has_grant(self.state) and not self.is_stopped:
            self._send(access)
        else:
            access.close()

    def _send(self, access):
        access.record_sent(self.state)
        sent_at = self.loop.now()
        self.fleet.arrivals.append((self.fleet.now(), self.address))
        advertised = self.fleet.advertised
        self.loop.call_later(
            self.fleet.rng.uniform(*HEAD_DELAY_S), lambda: self._on_head(sent_at, advertised)
        )

    def _on_head(self, sent_at, advertised):
        if self.is_stopped or self.fleet.world.routers[self.address].is_suspended:
            return
        now = self.loop.now()
        if advertised is None:
            self.runner_limits.record_absent(INSTANCE, sent_at, now)
        else:
            limit = AdvertisedLimit(advertised, str(advertised))
            self.runner_limits.record_advertised(INSTANCE, limit, now)


class LimitFleet(QuotaFleet):
    """A fleet of routers that send requests to one runner, with a record of all arrivals."""

    def __init__(self, seed, count, per_s=1.0, loss=0.0):
        self.limited = {}
        self.starts = {}
        self.per_s = per_s
        self.advertised = None
        self.arrivals = []
        self.skipped = 0
        limit = RateLimit(per_s, 1.0)
        super().__init__(seed, count, loss=loss, limit=limit, bounds=RUNNER_LIMIT_BOUNDS)

    def start(self, address, is_first_start=False):
        super().start(address, is_first_start)
        self.starts.setdefault(address, []).append(self.now())
        self.limited[address] = LimitedRouter(self, address)

    def stop(self, address):
        super().stop(address)
        del self.limited[address]

    def has_just_started(self, at, address):
        """Return whether a router had started too recently to know the limit."""
        return any(began <= at < began + STARTUP_GRACE_S for began in self.starts[address])

    def advertise(self, per_s):
        """Let the runner advertise a limit from now on; None for no limit."""
        self.advertised = per_s

    def load(self, per_s, for_s):
        """Schedule requests at random times to random routers."""
        at_s = 0.0
        while at_s < for_s:
            at_s += self.rng.expovariate(per_s)
            self.loop.call_later(at_s, self._route_request)

    def _route_request(self):
        address = self.rng.choice(self.addresses)
        router = self.limited.get(address)
        if router is not None and not self.world.routers[address].is_suspended:
            router.handle_request()

    def arrivals_between(self, since, until=float("inf")):
        """Return the times of arrivals in an interval."""
        return [at for at, _ in self.arrivals if since <= at < until]

    def most_in_window(self, since):
        """Return the maximum number of arrivals in any window."""
        times = self.arrivals_between(since)
        ends = (bisect.bisect_right(times, at + RUNNER_LIMIT_BOUNDS.window_s) for at in times)
        return max((end - n for n, end in enumerate(ends)), default=0)

    @property
    def allowed_arrivals(self):
        """The maximum number of arrivals allowed in a window."""
        bounds = RUNNER_LIMIT_BOUNDS
        return (1 + bounds.over_share) * bounds.window_s * self.per_s + bounds.slack_units
