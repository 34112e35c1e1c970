"""Running a process until it is asked to stop."""

import signal
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Protocol

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


def run_until_signal(process: Runnable, description: str) -> None:
    """Run a process until SIGTERM or SIGINT."""
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda _number, _frame: stopping.set())
    logging.set_verbosity(logging.INFO)
    identify_process(description)
    process.start()
    logging.info("%s started", description)
    stopping.wait()
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
