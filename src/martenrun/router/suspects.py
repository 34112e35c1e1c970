"""Tracks requests that crash the runners serving them, and shares the crash records.

New records are broadcast to all routers, and again until the store holds them.  A store reader
writes them to the store, which all routers follow.  Routers that joined, restarted, were suspended
or were cut off therefore receive them too, and a restart of all routers loses no records.
"""

import random
from collections.abc import Callable

from martenrun.net.http import HttpRequest
from martenrun.net.loop import Loop
from martenrun.router.blame_messages import BlameNews, BlameRecord
from martenrun.router.blame_table import BlamedRequest, BlameTable
from martenrun.router.crash_watch import CrashWatch, Probe, RunnerKnowledge
from martenrun.router.fingerprint import fingerprint, outline
from martenrun.router.log import log_event, log_trouble
from martenrun.router.messages import Admitted
from martenrun.router.runner_state import RunnerState

TOLD_AGAIN_S = 0.5
"""How often records that the store does not hold yet are broadcast again, in seconds."""

TOLD_FOR_S = 30.0
"""How long records are broadcast again, in seconds.

During a longer outage of the store, other routers receive them when they join or when it ends.
"""

RECORDS_PER_DATAGRAM = 100
"""Records per datagram, about 100 bytes each."""

TELLERS = 8
"""Approximate number of routers that send their records to a joining router."""


class Suspects:
    """The crash records of one router and the investigation of runner crashes.

    Args:
        broadcast: sends an update to all routers.
        rng: decides whether this router sends its records to a joining router.
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

    def fingerprint(self, request: HttpRequest, admitted: Admitted) -> bytes | None:
        """Return the fingerprint of a request that has a crash record, else None."""
        if not len(self.table) or not self.table.knows_outline(outline(request, admitted)):
            return None
        found = fingerprint(request, admitted)
        return found if self.table.knows(found) else None

    def held_for_s(self, run: bytes | None) -> float:
        """Return the remaining block duration of a request in seconds; 0 if it is not blocked."""
        return 0.0 if run is None else self.table.held_for_s(run, self._loop.now())

    def is_suspect(self, run: bytes | None) -> bool:
        """Whether a request may have crashed a runner."""
        return run is not None and self.table.starts(run) > 0

    def note_broken(self, state: RunnerState, request: HttpRequest, admitted: Admitted) -> None:
        """Handle a request whose connection closed before its response was complete."""
        self.watch.note_broken(state, fingerprint(request, admitted))

    def note_left(self, state: RunnerState, request: HttpRequest, admitted: Admitted) -> None:
        """Record that a runner restarted while serving a request."""
        if not state.runner.is_draining:
            self._on_ended(state.runner.instance, [fingerprint(request, admitted)])

    def list_blamed(self) -> list[BlamedRequest]:
        """Return the crash records as shown to operators."""
        return self.table.listed(self._loop.now())

    def clear(self, run: bytes) -> bool:
        """Clear a request on behalf of an operator; return whether it has a crash record."""
        if not self.table.knows(run):
            return False
        self.note_whole(run)
        return True

    def note_whole(self, run: bytes | None) -> None:
        """Record that a request completed at a runner."""
        if run is not None and self.table.note_whole(run, self._loop.now()):
            self._spread({run})

    # Other routers and the store

    def take(self, news: BlameNews) -> None:
        """Merge the records sent by another router."""
        self.table.merge(news.records, self._loop.now())
        self._log_held()

    def take_stored(self, records: list[BlameRecord]) -> None:
        """Merge the records held by the store."""
        self.stored = records
        self.table.merge(records, self._loop.now())
        self._log_held()

    def lacking_in_store(self) -> set[bytes]:
        """Return the requests whose records here contain more than the store's."""
        return self.table.lacking(self.stored) if len(self.table) else set()

    def newcomer_news(self, routers: int) -> BlameNews | None:
        """Return the records for a joining router; among many routers only a few send them."""
        if not len(self.table) or self._rng.random() > TELLERS / max(1, routers):
            return None
        records = self.table.records(self._loop.now())
        return BlameNews(records[:RECORDS_PER_DATAGRAM])

    def keep_house(self) -> None:
        """Broadcast records that may not have arrived, and drop expired ones."""
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
        """Log which requests have been blocked or unblocked since the last call."""
        held = set(self.table.held(self._loop.now())) if len(self.table) else set()
        for run in held - self._held:
            log_trouble("request_held_back", fingerprint=run.hex(), starts=self.table.starts(run))
        for run in self._held - held:
            log_event("request_let_go", fingerprint=run.hex())
        self._held = held
