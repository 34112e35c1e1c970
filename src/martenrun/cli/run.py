"""Running a process until it is asked to stop."""

import gc
import signal
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Protocol, runtime_checkable

import click
from absl import logging

from martenrun.errors import SettingsError
from martenrun.observability.logs import identify_process


class Runnable(Protocol):
    """A process with drivers to start and stop."""

    def start(self) -> None:
        """Start every driver."""

    def stop(self) -> None:
        """Stop every driver."""


@runtime_checkable
class Drainable(Protocol):
    """A process that ends its work before it is stopped."""

    def drain(self, hurry: threading.Event) -> None:
        """Take no new work and wait, for a bounded time or until ``hurry``, for the present."""


def run_until_signal(process: Runnable, description: str) -> None:
    """Run a process until SIGTERM or SIGINT; a second signal cuts the draining short."""
    stopping, hurry = threading.Event(), threading.Event()

    def take_signal(_number: int, _frame: object) -> None:
        (hurry if stopping.is_set() else stopping).set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, take_signal)
    logging.set_verbosity(logging.INFO)
    identify_process(description)
    process.start()
    # What start-up has made stays: later collections need not walk it.
    gc.freeze()
    logging.info("%s started", description)
    stopping.wait()
    if isinstance(process, Drainable):
        logging.info("%s is draining", description)
        process.drain(hurry)
    process.stop()
    logging.info("%s stopped", description)


@contextmanager
def faults_printed() -> Iterator[None]:
    """Print every settings fault with its remedy and exit with status 2."""
    try:
        yield
    except* SettingsError as group:
        for error in group.exceptions:
            if isinstance(error, SettingsError):
                click.echo(f"fault: {error.message}\n  remedy: {error.remedy}", err=True)
        raise SystemExit(2) from None
