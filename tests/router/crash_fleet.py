"""Simulates routers that share crash records, in virtual time, with gossip, relays and the store.

``python -m router.crash_fleet`` in ``tests/`` prints how long it takes until all routers block a
crash-causing request, and how many more runners it reaches, by fleet size and failure.
"""

import math
import statistics
import sys
from urllib.parse import urlsplit

import msgspec

from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.crashes.features import RequestFeatures
from martenrun.router.crashes.fingerprint import request_fingerprint
from martenrun.router.crashes.record_writer import CrashRecordWriter
from martenrun.router.log import EVENT_LOG
from martenrun.router.messages import Dataset
from martenrun.router.store.replica import ReplicaListener

from .crash_world import admitted, crash_tracker, request
from .fleet_world import CountingStore, Fleet, SimulatedRouter

FINGERPRINT = request_fingerprint(request(b"deadly"), admitted())
KIND = "router-blame"
CRASH_S = 0.1
"""How long a run lasts before its runner crashes, in seconds."""

SETTLED_S = 8.0
BLOCKED_WITHIN_S = 3.0
RESTART_S = 0.4


class CrashRecordStore(CountingStore):
    """A store that also holds the routers' crash records."""

    def __init__(self, loop):
        super().__init__(loop)
        self.stored = None
        self.writes = 0

    def serve(self, call, on_answer):
        kind = urlsplit(call.target.decode()).path.removeprefix("/martenrun/objects/")
        if not kind.startswith(KIND) or self.is_down:
            super().serve(call, on_answer)
        elif call.method == b"GET" and b"watch" not in call.target:
            items = [] if self.stored is None else [self.stored]
            self._respond(on_answer, 200, {"items": items, "more": False, "at": self.revision})
        elif call.method == b"GET":
            super().serve(call, on_answer)
        else:
            self._write(msgspec.json.decode(call.body), call.method == b"POST", on_answer)

    def _write(self, body, creates, on_answer):
        expected = body["metadata"].get("revision")
        revision = None if self.stored is None else self.stored["metadata"]["revision"]
        if (creates and revision is not None) or (not creates and expected != revision):
            self._respond(on_answer, 409, self.stored)
            return
        self.writes += 1
        metadata = {"name": "main", "revision": self.revision + 1}
        self.stored = {"metadata": metadata, "spec": body["spec"]}
        self.change(KIND)
        self._respond(on_answer, 200, self.stored)

    def _changed_item(self, kind):
        return self.stored if kind == KIND else super()._changed_item(kind)


class TrackingRouter(SimulatedRouter):
    """A router that follows, broadcasts and stores crash records."""

    def __init__(self, fleet, address, seeds):
        super().__init__(fleet, address, seeds)
        self.started_at = fleet.loop.now()
        self.is_off = False
        peers = fleet.world.routers[address]
        self.tracker = crash_tracker(fleet.loop, broadcast=peers.broadcast)
        peers._on_update = self.tracker.handle_update
        peers._updates_for_new_router = lambda routers: filter(
            None, [self.tracker.update_for_joining_router(routers)]
        )
        replica = self.replicas[Dataset.CRASH_RECORDS]
        replica._listener = ReplicaListener(
            lambda stored: self.tracker.merge_stored(PLATFORM_ADAPTER.read_crash_records(stored)),
            lambda _name: None,
            lambda: None,
        )
        self.writer = CrashRecordWriter(
            fleet.loop,
            fleet.store_client(address),
            PLATFORM_ADAPTER,
            replica,
            self.tracker,
            lambda: self.sync.reads_store,
        )
        self._loop = fleet.loop
        self._run_maintenance()

    def _run_maintenance(self):
        if not self.is_off:
            self.tracker.run_maintenance()
            self.writer.write_if_due()
            self._loop.call_later(0.25, self._run_maintenance)

    def blocks_request(self):
        return self.tracker.blocked_for_s(FINGERPRINT) > 0


class CrashFleet(Fleet):
    """Routers, the store, and one crash-causing request that is sent repeatedly to any router."""

    def __init__(self, seed, count, lost_share=0.0, zones=5):
        super().__init__(seed, count, zones)
        self.store = CrashRecordStore(self.loop)
        self.rng = self.world.rng
        if lost_share:
            total = 20
            lost = round(lost_share * total)
            self.world._copies = (0,) * lost + (1,) * (total - lost)
        self.arrivals = []
        self.crashes = []
        self.datagrams = 0
        self.bytes = 0
        send = self.world.send

        def counted(address, data):
            if b"blame" in data[:8]:
                self.datagrams += 1
                self.bytes += len(data)
            send(address, data)

        self.world.send = counted

    def start(self, address):
        seeds = tuple(self.addresses[:3])
        self.world.start(address, seeds, self.zones[address])
        self.members[address] = TrackingRouter(self, address, seeds)

    def stop(self, address):
        self.members[address].is_off = True
        super().stop(address)

    def restart(self, addresses):
        """Kill routers at the same time and restart them shortly after."""
        for address in addresses:
            self.stop(address)
            self.loop.call_later(RESTART_S, lambda address=address: self.start(address))

    def send_repeatedly(self, pause_s):
        """Send the crash-causing request to a random router, repeatedly."""
        if self.members:
            router = self.rng.choice(list(self.members.values()))
            if not router.blocks_request():
                self.arrivals.append((self.loop.now(), router.started_at))
                self.loop.call_later(CRASH_S, lambda: self._crash(router))
        pause = self.rng.expovariate(1 / pause_s)
        self.loop.call_later(pause, lambda: self.send_repeatedly(pause_s))

    def _crash(self, router):
        instance = f"i-{len(self.crashes)}"
        self.crashes.append(self.loop.now())
        if not router.is_off:
            router.tracker._record_crashes(instance, [RequestFeatures(FINGERPRINT)])

    def late_arrivals(self):
        """Count arrivals after the time by which the router should know of the third crash."""
        blocked_from = self.crashes[2] + BLOCKED_WITHIN_S
        return sum(
            at > blocked_from and at - started_at > BLOCKED_WITHIN_S
            for at, started_at in self.arrivals
        )


def restart_half(fleet):
    fleet.restart(fleet.rng.sample(list(fleet.members), len(fleet.members) // 2))


def restart_all(fleet):
    fleet.restart(list(fleet.members))


def store_down(fleet):
    fleet.store.is_down = True
    restart_half(fleet)


FAILURES = {
    "none": lambda _fleet: None,
    "half restart": restart_half,
    "all lose power": restart_all,
    "store down, half restart": store_down,
}


def simulate(seed, count, failure, lost_share=0.1, pause_s=0.5, crashes_before=3, duration_s=14.0):
    """Simulate one fleet; the failure occurs half a second after the given number of crashes."""
    fleet = CrashFleet(seed, count, lost_share)
    fleet.start_all()
    fleet.world.run(SETTLED_S)
    fleet.send_repeatedly(pause_s)
    while len(fleet.crashes) < crashes_before:
        fleet.world.run(0.05)
    fleet.world.run(0.5)
    FAILURES[failure](fleet)
    blocked_after_s = math.inf
    for _ in range(int(duration_s / 0.05)):
        fleet.world.run(0.05)
        all_block = len(fleet.members) == count and all(
            r.blocks_request() for r in fleet.members.values()
        )
        if all_block and blocked_after_s == math.inf and len(fleet.crashes) > 2:
            blocked_after_s = fleet.loop.now() - fleet.crashes[2]
    return fleet, blocked_after_s


def main():
    EVENT_LOG._output = -1
    print(
        "| routers | failure | after crashes | runs | all block after s, most "
        "| crashes, most | late, most | datagrams | bytes each |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    sizes = [int(size) for size in sys.argv[1].split(",")]
    runs = int(sys.argv[2])
    for count in sizes:
        for failure in FAILURES:
            for after in (1, 3):
                rows = [
                    simulate(seed, count, failure, crashes_before=after) for seed in range(runs)
                ]
                fleets = [fleet for fleet, _ in rows]
                datagrams = statistics.mean(fleet.datagrams for fleet in fleets)
                size = statistics.mean(fleet.bytes / max(1, fleet.datagrams) for fleet in fleets)
                print(
                    f"| {count} | {failure} | {after} | {runs} | {max(s for _, s in rows):.2f} "
                    f"| {max(len(fleet.crashes) for fleet in fleets)} "
                    f"| {max(fleet.late_arrivals() for fleet in fleets)} "
                    f"| {datagrams:.0f} | {size:.0f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
