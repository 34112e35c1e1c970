"""Commands that run the stand-ins of outside systems."""

from typing import Any

import click

from martenrun.cli.run import run_until_signal
from martenrun.edge.server import HttpServer
from martenrun.standins.engine.application import EngineApplication
from martenrun.standins.engine.events import FeedFaults
from martenrun.standins.engine.model import TimeModel
from martenrun.standins.machines import MachineListApplication
from martenrun.standins.objects import Faults, ObjectApiApplication

_THREADS = 64
_ADDRESS = click.option("--address", required=True, help="IP:port to serve on.")


@click.group()
def standin() -> None:
    """Run a small stand-in of an outside system, for trials and tests."""


def _serve(application: Any, address: str, description: str, threads: int = _THREADS) -> None:
    run_until_signal(HttpServer(application, address, threads), description)


@standin.command()
@_ADDRESS
@click.option("--delay-s", default=0.0, show_default=True, help="Added to every call.")
@click.option("--slow-probability", default=0.0, show_default=True, help="Of a call being slow.")
@click.option("--slow-s", default=1.0, show_default=True, help="Added to a slow call.")
@click.option("--lose-write-probability", default=0.0, show_default=True)
@click.option("--lose-read-probability", default=0.0, show_default=True)
@click.option("--seed", default=0, show_default=True, help="Of the faults' draws.")
@click.option("--retained-changes", default=10_000, show_default=True, help="Before compaction.")
def objects(address: str, retained_changes: int, **faults: Any) -> None:
    """Run the object API."""
    _serve(ObjectApiApplication(Faults(**faults), retained_changes), address, "object API")


@standin.command()
@_ADDRESS
@click.option("--lag-s", default=0.2, show_default=True, help="Delay of changes.")
def machines(address: str, lag_s: float) -> None:
    """Run the machine list."""
    _serve(MachineListApplication(lag_s), address, "machine list")


@standin.command()
@_ADDRESS
@click.option("--model", required=True)
@click.option("--weights-version", default="v1", show_default=True)
@click.option("--slots", default=16, show_default=True, help="Streams served at a time.")
@click.option("--block-bytes", default=4_000, show_default=True)
@click.option("--cache-blocks", default=2_000, show_default=True)
@click.option("--prefill-s-per-block", default=0.02, show_default=True)
@click.option("--decode-s-per-token", default=0.005, show_default=True)
@click.option("--event-lag-s", default=0.2, show_default=True, help="Delay of cache events.")
@click.option("--event-loss", default=0.0, show_default=True, help="Share of entries lost.")
@click.option("--seed", default=0, show_default=True, help="Seed of the losses.")
def engine(
    address: str,
    model: str,
    weights_version: str,
    slots: int,
    block_bytes: int,
    cache_blocks: int,
    prefill_s_per_block: float,
    decode_s_per_token: float,
    event_lag_s: float,
    event_loss: float,
    seed: int,
) -> None:
    """Run a model engine."""
    times = TimeModel(prefill_s_per_block, decode_s_per_token)
    faults = FeedFaults(event_lag_s, event_loss, seed)
    application = EngineApplication(
        model, weights_version, slots, block_bytes, cache_blocks, times, faults
    )
    _serve(application, address, f"engine {application.incarnation}", slots + 16)
