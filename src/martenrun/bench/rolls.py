"""Benchmark: how long a roll takes by the number of loads at a time.

Real decision logic, adapters and HTTP between stand-ins of the object API, the weight store
and the engines, all within this process and on loopback.
"""

import json
import random
import threading
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import asdict, dataclass
from typing import Any

import click

from martenrun.backends.engine import EngineConnections
from martenrun.backends.engine_orders import EngineOrders
from martenrun.backends.object_api import ObjectApi
from martenrun.configuration.state import ConfigurationState
from martenrun.edge.server import HttpServer
from martenrun.events import RunnerDescribed, SendOrder, StoreRead, StoreWrite
from martenrun.orders.rolls import RollsLogic
from martenrun.orders.workers import OrderWorkers
from martenrun.process import Clock, LoopActor, Poller, StoreWorkers
from martenrun.routing.policy import RunnerState
from martenrun.standins.engine.application import EngineApplication
from martenrun.standins.engine.settings import EngineSettings
from martenrun.standins.objects import ObjectApiApplication
from martenrun.standins.weights import LoadPace, WeightStoreApplication
from martenrun.wire.messages import ConfigurationObject, ConfigurationUpdate

_MODEL = "model"
_POOL = "pool"
_THREADS = 32
_DESCRIBE_PAUSE_S = 0.1
_POLL_S = 0.05
_LIMIT_S = 300.0


@dataclass(frozen=True)
class RollMeasurement:
    """Result of one roll."""

    engines: int
    maximum_loads: int
    load_s: float
    overload_penalty: float
    most_loads: int
    roll_s: float


@contextmanager
def _served(application: Any) -> Iterator[str]:
    server = HttpServer(application, "127.0.0.1:0", _THREADS)
    server.start()
    try:
        yield f"127.0.0.1:{server.port}"
    finally:
        server.stop()


def measure(engines: int, maximum_loads: int, pace: LoadPace) -> RollMeasurement:
    """Roll a pool from v1 to v2 and return how long it took."""
    weights = WeightStoreApplication(pace, [f"{_MODEL}/v1", f"{_MODEL}/v2"])
    with ExitStack() as stack:
        store = stack.enter_context(_served(ObjectApiApplication()))
        weight_store = stack.enter_context(_served(weights))
        settings = EngineSettings(_MODEL, "v1", weight_store=weight_store)
        addresses = [
            stack.enter_context(_served(EngineApplication(settings))) for _ in range(engines)
        ]
        roll_s = _roll(store, addresses, maximum_loads)
    return RollMeasurement(
        engines,
        maximum_loads,
        pace.load_s,
        pace.overload_penalty,
        weights.counts.most,
        round(roll_s, 2),
    )


def _roll(store: str, addresses: list[str], maximum_loads: int) -> float:
    runners = {
        f"engine-{index}": RunnerState(f"engine-{index}", address, "zone", _POOL)
        for index, address in enumerate(addresses)
    }
    document = json.dumps({"model": _MODEL, "weights_version": "v2"}).encode()
    configuration = ConfigurationState()
    pool = ConfigurationObject("pools", _POOL, 1, False, document)
    configuration.apply(ConfigurationUpdate(0, 1, [pool]))
    connections = EngineConnections()
    logic = RollsLogic(
        "bench", runners, configuration, lambda _name: True, random.Random(0), maximum_loads
    )
    loop: Any = None

    def tell(event: Any) -> None:
        loop.tell(event)

    store_workers = StoreWorkers(ObjectApi(store), tell)
    order_workers = OrderWorkers(EngineOrders(connections), tell)
    loop = LoopActor.start(
        [logic],
        {
            StoreRead: store_workers.carry,
            StoreWrite: store_workers.carry,
            SendOrder: order_workers.carry,
        },
    )
    done = threading.Event()

    def describe() -> None:
        descriptions = {name: connections.describe(r.address) for name, r in runners.items()}
        for name, description in descriptions.items():
            tell(RunnerDescribed(name, description))
        if all(found.weights_version == "v2" for found in descriptions.values()):
            done.set()

    drivers: list[Clock | Poller] = [Clock(tell), Poller("describe", describe, _DESCRIBE_PAUSE_S)]
    started = time.monotonic()
    for driver in drivers:
        driver.start()
    is_done = done.wait(_LIMIT_S)
    roll_s = time.monotonic() - started
    for driver in drivers:
        driver.stop()
    store_workers.stop()
    order_workers.stop()
    loop.stop()
    if not is_done:
        raise TimeoutError(f"the roll did not end within {_LIMIT_S} s")
    return roll_s


@click.command()
@click.option("--engines", default=6, show_default=True)
@click.option("--loads", multiple=True, type=int, default=(1, 2, 3, 4, 6), show_default=True)
@click.option("--load-s", default=4.0, show_default=True, help="Time of one undisturbed load.")
@click.option("--overload-penalty", default=0.1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line for each roll.")
def rolls(
    engines: int, loads: tuple[int, ...], load_s: float, overload_penalty: float, as_json: bool
) -> None:
    """Measure a roll of new weights by the number of loads at a time."""
    pace = LoadPace(load_s, overload_penalty=overload_penalty)
    for maximum_loads in loads:
        result = asdict(measure(engines, maximum_loads, pace))
        line = " ".join(f"{name}={value}" for name, value in result.items())
        click.echo(json.dumps(result) if as_json else line)
