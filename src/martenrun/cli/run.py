"""Running a process until it is asked to stop."""

import gc
import signal
import socket
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
    """Run a process until SIGTERM, SIGINT or SIGHUP; a second signal cuts the draining short.

    SIGHUP stays ignored where it was ignored at the start, as ``nohup`` does.

    The system may give a signal to any thread, and Python runs handlers on the main thread
    alone, which a wait for an event would not end for that.  So it waits for the byte that is
    written by whichever thread got the signal.
    """
    woken, waker = socket.socketpair()
    waker.setblocking(False)
    signal.set_wakeup_fd(waker.fileno(), warn_on_full_buffer=False)
    stopping, hurry = threading.Event(), threading.Event()

    def take_signal(_number: int, _frame: object) -> None:
        (hurry if stopping.is_set() else stopping).set()

    numbers = [signal.SIGTERM, signal.SIGINT]
    if signal.getsignal(signal.SIGHUP) != signal.SIG_IGN:
        numbers.append(signal.SIGHUP)
    for number in numbers:
        signal.signal(number, take_signal)
    logging.set_verbosity(logging.INFO)
    identify_process(description)
    process.start()
    # What start-up has made stays: later collections need not walk it.
    gc.freeze()
    logging.info("%s started", description)
    while not stopping.is_set():
        woken.recv(1)
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
