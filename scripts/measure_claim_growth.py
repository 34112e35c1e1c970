"""Measure how many claims the object API keeps, with and without their removal.

A node's claim retention runs in virtual time against the stand-in's store, while keyed
requests come at an even rate.  Calls of the object API are counted.
"""

import argparse
import random
import time

from martenrun.claims.retention import ClaimRetentionLogic
from martenrun.configuration.objects import Retention
from martenrun.constants import CLAIM_KIND
from martenrun.events import Tick
from martenrun.simulation.scheduler import Scheduler
from martenrun.simulation.store import SimulatedStore, StoreFaults

TICK_S = 0.25
HOUR_S = 3_600.0


def measure(retention: Retention, claims_per_s: float, hours: int, is_removing: bool) -> None:
    """Print a line for each hour."""
    scheduler = Scheduler()
    store = SimulatedStore(scheduler, random.Random(1), StoreFaults())
    logic = ClaimRetentionLogic("node", lambda: is_removing, lambda: retention)
    carriers = store.carriers("node", lambda event: logic.handle(event, scheduler.now))
    made = 0
    calls_before = 0
    for hour in range(1, hours + 1):
        started = time.process_time()
        while scheduler.now < hour * HOUR_S:
            while made < scheduler.now * claims_per_s:
                made += 1
                document = b'{"holder":"0123456789abcdef","state":"done"}'
                store.write(CLAIM_KIND, f"{random.Random(made).getrandbits(128):032x}", 0, document)
            for call in logic.handle(Tick(), scheduler.now):
                carriers[type(call)](call)
            scheduler.run_until(scheduler.now + TICK_S)
        kept = len(store.store.list_all(frozenset({CLAIM_KIND})).objects)
        calls_per_s = (store.calls - calls_before) / HOUR_S
        calls_before = store.calls
        used_s = time.process_time() - started
        print(
            f"hour {hour}: {made} made, {kept} kept, {logic.removed} removed, "
            f"{calls_per_s:.2f} calls/s of the cleaner, {used_s:.1f} s CPU of the run",
            flush=True,
        )


def main() -> None:
    """Run both ways."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--claims-per-s", type=float, default=1.0)
    parser.add_argument("--hours", type=int, default=6)
    parser.add_argument("--removals-per-s", type=float, default=50.0)
    arguments = parser.parse_args()
    retention = Retention(seconds=HOUR_S, removals_per_s=arguments.removals_per_s)
    for is_removing in (False, True):
        print(f"removing: {is_removing}; retention {retention.seconds:.0f} s")
        measure(retention, arguments.claims_per_s, arguments.hours, is_removing)


if __name__ == "__main__":
    main()
