"""Exchanges the load that each router puts on each runner.

Routers include their loads in their gossiped records.  A prompt is prefilled in a fraction of the
time between two records, so a router that sends a long prompt to a runner broadcasts that at once.
Otherwise a second long prompt may be sent to the same runner, and the streams that run there stall.
In large deployments the loads of other zones are received as sums
(:mod:`martenrun.router.zone_loads`).
"""

from collections.abc import Iterable

from martenrun.net.loop import Loop
from martenrun.net.periodic import PeriodicCall
from martenrun.router.peer_messages import RouterRecord, RunnerLoad, ZoneLoads
from martenrun.router.peers import Peers
from martenrun.router.runner_pool import RunnerPool
from martenrun.router.runner_state import RunnerState
from martenrun.router.zone_loads import (
    SEND_INTERVAL_S,
    LoadsByZone,
    ReceivedLoads,
    SentLoads,
    sum_loads,
    zone_reporters,
)

BROADCAST_THRESHOLD_TOKENS = 1_000
"""Change of a runner's pending prefill that is broadcast to the other routers, in tokens."""

REPORT_INTERVAL_S = 1.2
"""Interval at which a prefill that is still pending is reported again, in seconds.

Short enough for two reports within the time for which they are valid, so that one may be lost.
"""


class LoadExchange:
    """Sends the loads of this router to other routers and merges theirs."""

    def __init__(self, pool: RunnerPool, peers: Peers) -> None:
        self._pool = pool
        self._peers = peers
        self._outdated: set[str] = set()
        self._reporters: dict[str, str] = {}
        self._sent = SentLoads()
        self._received = ReceivedLoads()
        self._to_forward: LoadsByZone = {}

    def own_loads(self) -> dict[str, RunnerLoad]:
        """Return the load that this router puts on each runner."""
        return {
            state.runner.instance: _own_load(state)
            for state in self._pool.all_states()
            if state.in_flight
        }

    def report_pending_prefill(self, state: RunnerState) -> None:
        """Broadcast this router's pending prefill at a runner if it has changed enough."""
        if (
            abs(state.pending_prefill_tokens - state.broadcast_prefill_tokens)
            < BROADCAST_THRESHOLD_TOKENS
        ):
            return
        self._broadcast_load(state)

    def repeat_reports(self) -> None:
        """Repeat reports of prefills that take long, as other routers let reports expire."""
        repeat_before = self._peers.now() - REPORT_INTERVAL_S
        for state in self._pool.all_states():
            if (
                state.pending_prefill_tokens >= BROADCAST_THRESHOLD_TOKENS
                and state.prefill_broadcast_at < repeat_before
            ):
                self._broadcast_load(state)

    def _broadcast_load(self, state: RunnerState) -> None:
        state.broadcast_prefill_tokens = state.pending_prefill_tokens
        state.prefill_broadcast_at = self._peers.now()
        self._peers.broadcast_load(state.runner.instance, _own_load(state))

    def update_from_records(self) -> None:
        """Recompute the load of every runner from the records of all live routers."""
        self._outdated.clear()
        records = self._peers.live()
        self._reporters = (
            zone_reporters([self._peers.own, *records]) if self._uses_zone_loads else {}
        )
        self._received.remove_expired(self._peers.now())
        for state in self._pool.all_states():
            self._sum_loads(state, records)

    def mark_outdated(self, instance: str) -> None:
        """Record that another router's load on a runner has changed.

        The sums are recomputed by :meth:`refresh`, because with many routers there are far more
        reports than placements.
        """
        self._outdated.add(instance)

    def merge_zone_loads(self, update: ZoneLoads) -> None:
        """Merge the sums of other zones, and keep those to forward within this zone.

        Sums received from another zone's reporter are forwarded, forwarded ones are not.
        """
        for zone, sums in update.zones.items():
            if zone == self._peers.own.zone:
                continue
            self._received.merge(zone, sums, self._peers.now())
            self._outdated.update(sums)
            if not update.is_forwarded:
                self._to_forward.setdefault(zone, {}).update(sums)

    def refresh(self) -> None:
        """Recompute outdated sums; called before a request is placed."""
        if not self._outdated:
            return
        records = self._peers.live()
        for instance in self._outdated:
            state = self._pool.state(instance)
            if state is not None:
                self._sum_loads(state, records)
        self._outdated.clear()

    def start(self, loop: Loop) -> None:
        """Start to send the sums between zones."""
        PeriodicCall(loop, "zone_loads", SEND_INTERVAL_S, self.send_zone_loads).start()

    def send_zone_loads(self) -> float:
        """Send the sums that are due between zones; return the seconds until the next call."""
        own = self._peers.own
        if self._to_forward:
            forwarded = ZoneLoads(self._to_forward, is_forwarded=True)
            self._peers.send_zone_loads(self._own_zone_addresses(), forwarded)
            self._to_forward = {}
        if self._reporters.get(own.zone) == own.address:
            own_zone = [record.loads for record in self._peers.live() if record.zone == own.zone]
            update = self._sent.take_due(
                sum_loads([self.own_loads(), *own_zone]), self._peers.now()
            )
            others = [address for zone, address in self._reporters.items() if zone != own.zone]
            if update:
                self._peers.send_zone_loads(others, ZoneLoads({own.zone: update}))
        return SEND_INTERVAL_S

    @property
    def _uses_zone_loads(self) -> bool:
        return self._peers.sends_loads_to_own_zone_only()

    def _own_zone_addresses(self) -> list[str]:
        own = self._peers.own
        return [record.address for record in self._peers.live() if record.zone == own.zone]

    def _sum_loads(self, state: RunnerState, records: Iterable[RouterRecord]) -> None:
        """Set the load that other routers put on a runner to the sum of their reports."""
        instance = state.runner.instance
        requests = prefill = kv_cache = 0
        for record in records:
            if self._reporters and record.zone != self._peers.own.zone:
                continue
            load = record.loads.get(instance)
            if load is not None:
                requests += load.requests
                prefill += load.prefill_tokens
                kv_cache += load.kv_cache_tokens
        if self._reporters:
            other_zones = self._received.total_load(instance, self._peers.now())
            requests += other_zones.requests
            prefill += other_zones.prefill_tokens
            kv_cache += other_zones.kv_cache_tokens
        state.other_requests = requests
        state.other_prefill_tokens = prefill
        state.other_kv_cache_tokens = kv_cache


def _own_load(state: RunnerState) -> RunnerLoad:
    return RunnerLoad(state.in_flight, int(state.pending_prefill_tokens), state.kv_cache_tokens)
