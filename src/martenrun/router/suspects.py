"""What a router knows and tells of requests that end the runners which run them.

What it finds out goes to all routers at once, and again until the store holds it: who reads the
store writes it there, and everybody follows that.  So those that joined, started anew, stood still
or were cut off know as well, and a loss of all routers forgets nothing.
"""

import random
from collections.abc import Callable

from martenrun.net.http import HttpRequest
from martenrun.net.loop import Loop
from martenrun.router.blame_messages import BlameNews, BlameRecord
from martenrun.router.blame_table import BlamedRequest, BlameTable
from martenrun.router.crash_watch import CrashWatch, Probe, RunnerKnowledge
from martenrun.router.fingerprint import fingerprint, outline
from martenrun.router.log import log_event, log_warning
from martenrun.router.messages import AdmittedRequest
from martenrun.router.runner_state import RunnerState

TOLD_AGAIN_S = 0.5
"""How often what the store does not hold yet is told again, in seconds."""

TOLD_FOR_S = 30.0
"""For how long that is done, in seconds: longer outages of the store are over for newcomers too."""

RECORDS_PER_DATAGRAM = 100
"""Requests told of in one datagram, of some 100 bytes each."""

TELLERS = 8
"""How many routers or so tell a newcomer what they know."""


class Suspects:
    """The blame of requests at one router.

    Args:
        tell: sends news to all routers.
        rng: draws who tells a newcomer.
    """

    def __init__(
        self,
        loop: Loop,
        runners: RunnerKnowledge,
        tell: Callable[[BlameNews], None],
        probe: Callable[[Loop, str, Callable[[bool | None], None]], object] = Probe,
        rng: random.Random | None = None,
    ) -> None:
        self._loop = loop
        self._runners = runners
        self._tell = tell
        self._rng = rng or random.Random()
        self._untold: dict[bytes, float] = {}
        self._told_at = 0.0
        self._held: set[bytes] = set()
        self.table = BlameTable()
        self.watch = CrashWatch(loop, runners, self._on_ended, probe)
        self.stored: list[BlameRecord] = []

    # Requests

    def fingerprint(self, request: HttpRequest, admitted: AdmittedRequest) -> bytes | None:
        """Return the fingerprint of a request of which something is known, else None."""
        if not len(self.table) or not self.table.knows_outline(outline(request, admitted)):
            return None
        found = fingerprint(request, admitted)
        return found if self.table.knows(found) else None

    def held_for_s(self, run: bytes | None) -> float:
        """Return for how long a request is held back, in seconds; 0 if it is not."""
        return 0.0 if run is None else self.table.held_for_s(run, self._loop.now())

    def is_suspect(self, run: bytes | None) -> bool:
        """Whether a request may have ended a runner."""
        return run is not None and self.table.starts(run) > 0

    def note_broken(
        self, state: RunnerState, request: HttpRequest, admitted: AdmittedRequest
    ) -> None:
        """Take in that the connection of a run ended before its answer did."""
        self.watch.note_broken(state, fingerprint(request, admitted))

    def note_left(
        self, state: RunnerState, request: HttpRequest, admitted: AdmittedRequest
    ) -> None:
        """Take in that a runner started anew while it ran a request."""
        if not state.runner.is_draining:
            self._on_ended(state.runner.instance, [fingerprint(request, admitted)])

    def list_blamed(self) -> list[BlamedRequest]:
        """Return what operators are told."""
        return self.table.listed(self._loop.now())

    def clear(self, run: bytes) -> bool:
        """Take in an operator's word that a request is harmless; return whether it is known."""
        if not self.table.knows(run):
            return False
        self.note_whole(run)
        return True

    def note_whole(self, run: bytes | None) -> None:
        """Take in that a request came to an end of its own at a runner."""
        if run is not None and self.table.note_whole(run, self._loop.now()):
            self._spread({run})

    # Other routers and the store

    def take(self, news: BlameNews) -> None:
        """Take in what another router tells."""
        self.table.merge(news.records, self._loop.now())
        self._log_held()

    def take_stored(self, records: list[BlameRecord]) -> None:
        """Take in what the store holds."""
        self.stored = records
        self.table.merge(records, self._loop.now())
        self._log_held()

    def lacking_in_store(self) -> set[bytes]:
        """Return the requests of which the store does not hold all that is known here."""
        return self.table.lacking(self.stored) if len(self.table) else set()

    def newcomer_news(self, routers: int) -> BlameNews | None:
        """Return what a router that has just been heard of is told; of many routers a few tell."""
        if not len(self.table) or self._rng.random() > TELLERS / max(1, routers):
            return None
        records = self.table.records(self._loop.now())
        return BlameNews(records[:RECORDS_PER_DATAGRAM])

    def keep_house(self) -> None:
        """Tell again what may not have arrived, and forget what is over."""
        now = self._loop.now()
        self.table.runners = self._runners.count()
        self.table.forget(now)
        self._log_held()
        if not self._untold or now - self._told_at < TOLD_AGAIN_S:
            return
        lacking = self.lacking_in_store()
        self._untold = {
            run: since
            for run, since in self._untold.items()
            if run in lacking and now - since < TOLD_FOR_S
        }
        if self._untold:
            self._send(set(self._untold))

    def _on_ended(self, start: str, runs: list[bytes]) -> None:
        now = self._loop.now()
        news = {run for run in runs if self.table.note_ended(run, start, now)}
        if news:
            self._spread(news)
            self._log_held()

    def _spread(self, runs: set[bytes]) -> None:
        now = self._loop.now()
        self._untold.update(dict.fromkeys(runs, now))
        self._send(runs)

    def _send(self, runs: set[bytes]) -> None:
        self._told_at = self._loop.now()
        records = self.table.records(self._told_at, runs)
        for first in range(0, len(records), RECORDS_PER_DATAGRAM):
            self._tell(BlameNews(records[first : first + RECORDS_PER_DATAGRAM]))

    def _log_held(self) -> None:
        """Log which requests are held back from now on, or no longer."""
        held = set(self.table.held(self._loop.now())) if len(self.table) else set()
        for run in held - self._held:
            log_warning("request_held_back", fingerprint=run.hex(), starts=self.table.starts(run))
        for run in self._held - held:
            log_event("request_let_go", fingerprint=run.hex())
        self._held = held
