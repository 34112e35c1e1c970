"""Compares ways for routers to learn which software version began a stream, in virtual time.

    python -m tests.router.compare_origin_methods

Prints, for several numbers of routers, what each way costs and how many resumed streams stay
unknown or go on at another version after kills.  Streams begin at random routers; each is resumed
once at another router, after a second.
"""

import random
import sys

from martenrun.identity.rendezvous import weight
from martenrun.router.origins.table import stream_key

from .origin_world import OriginWorld

STREAMS = 600
PER_S_AND_ROUTER = 23_000 / 370
"""Streams per second and router at the target size."""

DATAGRAM_OVERHEAD_BYTES = 28
SIZES = (16, 79, 400)
KILLED_SHARES = (0.0, 0.1, 0.3, 0.6)


def play(count, killed_share, loss=0.01):
    """Return bytes and datagrams by stream, and the shares unknown, wrong, and unknown on average.

    The killed routers are drawn among all at the same moment, before the streams are resumed.
    """
    world = OriginWorld(count, seed=count, loss=loss)
    rng = random.Random(count)
    begun = {}
    for number in range(STREAMS):
        address = rng.choice(world.addresses)
        software = rng.choice(["v1.1", "v1.2"])
        world.begin(address, f"s{number}", software=software)
        begun[f"s{number}"] = software
        world.run(1.0 / (PER_S_AND_ROUTER * count))
    world.run(0.1)
    told = world.bytes + DATAGRAM_OVERHEAD_BYTES * world.datagrams, world.datagrams
    for address in rng.sample(world.addresses, int(killed_share * count)):
        world.kill(address)
    outcomes = {"unknown": 0, "wrong": 0}
    results, asked_from = [], world.datagrams
    for name, software in begun.items():
        router = world.routers[rng.choice(world.addresses)]
        key = stream_key("t", name.encode())
        router.exchange.find(
            key, lambda found, software=software: results.append((found, software))
        )
        world.run(0.02)
    world.run(0.5)
    for found, software in results:
        if found is None:
            outcomes["unknown"] += 1
        elif found.software != software:
            outcomes["wrong"] += 1
    asked = (world.datagrams - asked_from) / STREAMS
    return told[0] / STREAMS, told[1] / STREAMS, asked, outcomes


def derived_wrong(lag_share, versions=("v1.1", "v1.2")):
    """Return the share of streams that a router with an outdated list derives another version for.

    The version is that of the highest weight; the outdated list lacks the newest version.
    """
    names = [b"s%d" % number for number in range(20_000)]
    newest = max
    wrong = sum(
        newest(versions, key=lambda version: weight(name, version))
        != newest(versions[:-1], key=lambda version: weight(name, version))
        for name in names
    )
    return lag_share * wrong / len(names)


def main():
    print("| routers | killed at once | bytes a stream | datagrams | asked | unknown | wrong |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for count in SIZES:
        for killed_share in KILLED_SHARES:
            sent_bytes, datagrams, asked, outcomes = play(count, killed_share)
            print(
                f"| {count} | {killed_share} | {sent_bytes:.0f} | {datagrams:.2f} | {asked:.2f} "
                f"| {outcomes['unknown'] / STREAMS:.4f} | {outcomes['wrong'] / STREAMS:.4f} |"
            )
        everybody = (count - 1) * (sent_bytes / max(datagrams, 1e-9))
        print(f"told to all {count}: {everybody:.0f} bytes a stream")
    print(
        f"derived from the id with a list that lacks one of two versions: {derived_wrong(1.0):.3f}"
    )


if __name__ == "__main__":
    sys.exit(main())
