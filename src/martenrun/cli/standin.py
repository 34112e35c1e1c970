"""Commands that run the stand-ins of outside systems."""

import time
from typing import Any

import click

from martenrun.cli.listening import check_can_listen
from martenrun.cli.run import faults_printed, run_until_signal
from martenrun.edge.server import HttpServer
from martenrun.standins.engine.application import EngineApplication
from martenrun.standins.engine.events import FeedFaults
from martenrun.standins.engine.executions import print_report, report_nothing
from martenrun.standins.engine.model import TimeModel
from martenrun.standins.engine.settings import EngineSettings
from martenrun.standins.kv_store import KvStoreApplication
from martenrun.standins.machines import Machine, MachineListApplication, put_machine
from martenrun.standins.objects import Faults, ObjectApiApplication
from martenrun.standins.weights import LoadPace, WeightStoreApplication

_THREADS = 64
_THREADS_FOR_CONTROL = 16
_REGISTER_TIMEOUT_S = 20.0
_REGISTER_INTERVAL_S = 0.1
_ADDRESS = click.option("--address", required=True, help="IP:port to serve on.")


@click.group()
def standin() -> None:
    """Run a small stand-in of an outside system, for trials and tests."""


def _serve(application: Any, address: str, description: str, threads: int = _THREADS) -> None:
    with faults_printed():
        check_can_listen({"--address": address})
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
@click.option("--machines", "machine_list", required=True, help="IP:port of the machine list.")
@click.argument("name")
@click.argument("engine_address")
@click.option("--pool", required=True, help="Pool whose requests the engine serves.")
@click.option("--zone", default="zone-a", show_default=True)
@click.option("--leaving", is_flag=True, help="Show it as about to leave.")
def register(
    machine_list: str, name: str, engine_address: str, pool: str, zone: str, leaving: bool
) -> None:
    """Put an engine into the machine list, or change its entry."""
    machine = Machine(name, "engine", engine_address, zone, pool, "leaving" if leaving else "live")
    until = time.monotonic() + _REGISTER_TIMEOUT_S
    while not put_machine(machine_list, machine):
        if time.monotonic() > until:
            raise click.ClickException(f"the machine list at {machine_list} does not answer")
        time.sleep(_REGISTER_INTERVAL_S)


@standin.command()
@_ADDRESS
@click.option("--load-s", default=2.0, show_default=True, help="Time of one undisturbed load.")
@click.option("--full-rate-loads", default=3, show_default=True, help="Loads before it slows.")
@click.option("--overload-penalty", default=0.1, show_default=True, help="Rate lost per load more.")
@click.option("--publish", multiple=True, help="MODEL/VERSION that exists; may be repeated.")
def weights(
    address: str,
    load_s: float,
    full_rate_loads: int,
    overload_penalty: float,
    publish: tuple[str, ...],
) -> None:
    """Run the weight store."""
    pace = LoadPace(load_s, full_rate_loads, overload_penalty)
    _serve(WeightStoreApplication(pace, list(publish)), address, "weight store")


@standin.command("kv-store")
@_ADDRESS
@click.option("--capacity-blocks", default=100_000, show_default=True)
@click.option("--transfer-s-per-block", default=0.002, show_default=True)
def kv_store(address: str, capacity_blocks: int, transfer_s_per_block: float) -> None:
    """Run a KV store."""
    _serve(KvStoreApplication(capacity_blocks, transfer_s_per_block), address, "KV store")


@standin.command()
@_ADDRESS
@click.option("--model", required=True)
@click.option("--weights-version", default="v1", show_default=True)
@click.option("--slots", default=16, show_default=True, help="Streams served at a time.")
@click.option("--queue-depth", default=0, show_default=True, help="Requests that may wait.")
@click.option("--block-bytes", default=4_000, show_default=True)
@click.option("--cache-blocks", default=2_000, show_default=True)
@click.option("--prefill-s-per-block", default=0.02, show_default=True)
@click.option("--decode-s-per-token", default=0.005, show_default=True)
@click.option("--slowdown-per-stream", default=0.05, show_default=True)
@click.option("--event-lag-s", default=0.2, show_default=True, help="Delay of cache events.")
@click.option("--event-loss", default=0.0, show_default=True, help="Share of entries lost.")
@click.option("--seed", default=0, show_default=True, help="Seed of the losses.")
@click.option("--load-lag-s", default=0.0, show_default=True, help="Age of the reported load.")
@click.option("--weight-store", default="", help="IP:port of the weight store.")
@click.option("--kv-store", default="", help="IP:port of the KV store.")
@click.option("--print-executions", is_flag=True, help="One JSON line for each execution.")
def engine(
    address: str,
    prefill_s_per_block: float,
    decode_s_per_token: float,
    slowdown_per_stream: float,
    event_lag_s: float,
    event_loss: float,
    seed: int,
    print_executions: bool,
    **options: Any,
) -> None:
    """Run a model engine."""
    settings = EngineSettings(
        times=TimeModel(prefill_s_per_block, decode_s_per_token, slowdown_per_stream),
        feed=FeedFaults(event_lag_s, event_loss, seed),
        **options,
    )
    report = print_report if print_executions else report_nothing
    application = EngineApplication(settings, report)
    threads = settings.slots + settings.queue_depth + _THREADS_FOR_CONTROL
    _serve(application, address, f"engine {application.incarnation}", threads)
