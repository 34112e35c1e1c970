"""Measures what it costs an owner node to follow its engines, and how soon it notices changes.

The node's decision logic runs on its loop in this process, alone, so that it owns every engine;
the engines are stand-ins in another process (``bench feed-engines``).  What the loop and its
clock take while the engines are owned but not followed is measured first and told apart.

See also: scripts/measure_feeds.py, docs/design/engine-feeds.md.
"""

import contextlib
import json
import random
import statistics
import threading
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from functools import partial
from pathlib import Path
from typing import Any

import click
import urllib3
from urllib3.exceptions import HTTPError

from martenrun.backends.machine_list import Machine
from martenrun.bench.feed_engines import CLOSE_PATH, engine_address
from martenrun.bench.feed_ways import FeedWay, ways
from martenrun.events import MachinesListed, Send, SendDatagram, StoreRead, StoreWatch, StoreWrite
from martenrun.node.parts import node_parts
from martenrun.process import Clock, LoopActor
from martenrun.routing.policy import RunnerState
from martenrun.settings.model import NodeSettings

SETTLE_S = 4.0
NOTICE_LIMIT_S = 15.0
_LOOK_S = 0.001
_POOL = "feeds"
_CONTROL_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class FeedsResult:
    """What following engines costs; processor time in ms a second.

    Attributes:
        unfollowed_ms_per_s: loop and clock while the engines are owned but not followed.
        cpu_ms_per_s: what following adds, on all threads; ``by_thread`` is the whole, by name.
        blocks_per_s: hashes stored or removed that reached the loop.
        tells_per_s: messages given to the loop.
        rss_growth_mib: memory taken since before the engines were followed.
        draining_noticed_ms, killed_noticed_ms: medians and greatest.
    """

    way: str
    engines: int
    events_per_s: float
    duration_s: float
    unfollowed_ms_per_s: float
    cpu_ms_per_s: float
    by_thread: dict[str, float]
    blocks_per_s: float
    tells_per_s: float
    rss_growth_mib: float
    draining_noticed_ms: list[float]
    killed_noticed_ms: list[float]
    load_average: float


def thread_cpu_s() -> dict[str, float]:
    """Return the processor time of the live threads, by name without its number, in seconds."""
    found: dict[str, float] = {}
    for thread in threading.enumerate():
        try:
            text = Path(f"/proc/self/task/{thread.native_id}/schedstat").read_text()
        except OSError:
            continue
        name = thread.name.partition("-(")[0].rstrip("-0123456789 ")
        found[name] = found.get(name, 0.0) + int(text.split()[0]) / 1e9
    return found


def _resident_mib() -> float:
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096 / 2**20


class FollowingNode:
    """A node's loop that owns every engine, and one way of following them."""

    def __init__(self, addresses: list[str]) -> None:
        self.names = [f"engine-{index}" for index in range(len(addresses))]
        self.addresses = dict(zip(self.names, addresses, strict=True))
        settings = NodeSettings(
            name="feeds",
            zone="z",
            cluster_secret="bench-cluster-secret-0123456789",
            http_address="127.0.0.1:1",
            peer_address="127.0.0.1:2",
            object_api="127.0.0.1:1",
            machine_list="127.0.0.1:1",
        )
        self.parts = node_parts(settings, "bench", random.Random(1))
        self.tells = 0
        kinds = (Send, SendDatagram, StoreRead, StoreWrite, StoreWatch)
        carriers: dict[type[Any], Any] = dict.fromkeys(kinds, lambda _instruction: None)
        self._loop: Any = LoopActor.start(self.parts.in_order(), carriers)
        self._clock = Clock(self.tell_uncounted)

    def tell(self, event: Any) -> None:
        """Give the loop an event."""
        self.tells += 1
        self._loop.tell(event)

    def tell_uncounted(self, event: Any) -> None:
        """Give the loop a tick."""
        self._loop.tell(event)

    def start(self) -> None:
        """Start the clock."""
        self._clock.start()

    def list_engines(self) -> None:
        """Let the node know, and so own, the engines."""
        machines = [
            Machine(name, "engine", address, "z", _POOL) for name, address in self.addresses.items()
        ]
        self.tell(MachinesListed(machines))

    def stop(self) -> None:
        """Stop the loop."""
        self._clock.stop()
        self._loop.stop()

    def wait_for(self, condition: Callable[[], bool]) -> float:
        """Return the time until a condition holds, in seconds; at most ``NOTICE_LIMIT_S``."""
        began = time.monotonic()
        while not condition() and time.monotonic() - began < NOTICE_LIMIT_S:
            time.sleep(_LOOK_S)
        return time.monotonic() - began


def _post(address: str, path: str, body: object) -> None:
    data = json.dumps(body).encode()
    urllib3.request(
        "POST",
        f"http://{address}{path}",
        body=data,
        timeout=_CONTROL_TIMEOUT_S,
        retries=False,
        headers={"Connection": "close"},
    )


def _is_refusing(runner: RunnerState) -> bool:
    return not runner.accepting


def _is_unreachable(runner: RunnerState) -> bool:
    return not runner.incarnation


def _spread_ms(times_s: list[float]) -> list[float]:
    if not times_s:
        return []
    return [round(1000 * statistics.median(times_s), 1), round(1000 * max(times_s), 1)]


class _Measurement:
    """One run of one way."""

    def __init__(self, node: FollowingNode, way: FeedWay, duration_s: float) -> None:
        self.node = node
        self.way = way
        self.duration_s = duration_s

    def spent(self) -> dict[str, float]:
        """Return the processor time spent during the next ``duration_s``, in ms a second."""
        before = thread_cpu_s()
        time.sleep(self.duration_s)
        after = thread_cpu_s()
        return {
            name: round(1000 * (spent - before.get(name, 0.0)) / self.duration_s, 3)
            for name, spent in after.items()
        }

    def draining(self, samples: int) -> list[float]:
        """Return how soon ``draining`` of an engine reaches the table of runners."""
        times = []
        for name in self.node.names[:samples]:
            runner = self.node.parts.runners.runners[name]
            time.sleep(random.random())
            _post(self.node.addresses[name], "/faults", {"draining": True})
            times.append(self.node.wait_for(partial(_is_refusing, runner)))
        return times

    def killed(self, samples: int) -> list[float]:
        """Return how soon a closed engine is known to be unreachable."""
        times = []
        for name in self.node.names[-samples:]:
            runner = self.node.parts.runners.runners[name]
            time.sleep(random.random())
            with contextlib.suppress(HTTPError):
                # The answer may be cut by the close that it announces.
                _post(self.node.addresses[name], CLOSE_PATH, {})
            times.append(self.node.wait_for(partial(_is_unreachable, runner)))
        return times


def measure(
    way_name: str, addresses: list[str], rate: dict[str, Any], duration_s: float, samples: int
) -> FeedsResult:
    """Follow the engines in one way and return what it cost."""
    load_average = float(Path("/proc/loadavg").read_text().split()[0])
    node = FollowingNode(addresses)
    way = ways()[way_name](node.parts, node.tell)
    run = _Measurement(node, way, duration_s)
    try:
        return _measured(run, way_name, rate, samples, load_average)
    finally:
        way.stop()
        node.stop()


def _measured(
    run: _Measurement, way_name: str, rate: dict[str, Any], samples: int, load_average: float
) -> FeedsResult:
    node, way, duration_s = run.node, run.way, run.duration_s
    addresses = list(node.addresses.values())
    node.start()
    time.sleep(SETTLE_S / 2)
    runners, owned = node.parts.runners.runners, node.parts.ownership.owner.owned
    node.list_engines()
    node.wait_for(lambda: len(owned) == len(addresses))
    alone = run.spent()
    memory = _resident_mib()
    for address in addresses:
        _post(address, "/synthetic-events", rate)
    way.start()
    node.wait_for(lambda: all(runner.incarnation for runner in runners.values()))
    time.sleep(SETTLE_S + rate["cached_blocks"] / 10_000)
    blocks, tells = way.blocks(), node.tells
    by_thread = run.spent()
    blocks, tells = way.blocks() - blocks, node.tells - tells
    growth = _resident_mib() - memory
    draining, killed = run.draining(samples), run.killed(samples)
    total, base = sum(by_thread.values()), sum(alone.values())
    return FeedsResult(
        way_name,
        len(addresses),
        rate["events_per_s"] * len(addresses),
        duration_s,
        round(base, 2),
        round(total - base, 2),
        by_thread,
        round(blocks / duration_s, 1),
        round(tells / duration_s, 1),
        round(growth, 2),
        _spread_ms(draining),
        _spread_ms(killed),
        load_average,
    )


@click.command()
@click.option("--engines", default=32, show_default=True, type=click.IntRange(1, 512))
@click.option("--first-port", required=True, type=click.IntRange(1024, 65_000))
@click.option("--way", type=click.Choice(sorted(ways())), default="held", show_default=True)
@click.option("--events-per-s", default=0.0, show_default=True, help="Of all engines together.")
@click.option("--blocks-per-entry", default=5, show_default=True, help="Stored; as many removed.")
@click.option("--cached-blocks", default=4096, show_default=True, help="Of each engine, at first.")
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--samples", default=4, show_default=True, help="Engines drained, and killed.")
@click.option("--json", "as_json", is_flag=True)
def feeds(
    engines: int,
    first_port: int,
    way: str,
    events_per_s: float,
    blocks_per_entry: int,
    cached_blocks: int,
    seconds: float,
    samples: int,
    as_json: bool,
) -> None:
    """Follow stand-in engines of another process and measure the cost."""
    addresses = [engine_address(first_port, index) for index in range(engines)]
    rate = {
        "events_per_s": events_per_s / engines,
        "blocks_per_entry": blocks_per_entry,
        "cached_blocks": cached_blocks,
    }
    result = measure(way, addresses, rate, seconds, samples)
    if as_json:
        click.echo(json.dumps(asdict(result)))
        return
    for name, value in asdict(result).items():
        click.echo(f"{name}: {value}")
