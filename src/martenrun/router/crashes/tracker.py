"""Tracks requests and parts of prompts that crash runners, and shares the crash records.

New records are broadcast to all routers, and again until the store holds them.  A store reader
writes them to the store, which all routers follow.  Routers that joined, restarted, were suspended
or were cut off therefore receive them too, and a restart of all routers loses no records.
"""

import collections
import random
from collections.abc import Callable

from martenrun.net.http import HttpRequest
from martenrun.net.loop import Loop
from martenrun.router.crashes.detector import (
    ConnectionProbe,
    CrashDetector,
    RunnerView,
)
from martenrun.router.crashes.features import RequestFeatures, part_name, request_features
from martenrun.router.crashes.fingerprint import fingerprint_prefix, request_fingerprint
from martenrun.router.crashes.history import COMPLETION_GRACE_S
from martenrun.router.crashes.messages import CrashRecord, CrashUpdate
from martenrun.router.crashes.outcome_check import Probe, RequestReport, RunnerOutcome
from martenrun.router.crashes.table import CrashSummary, CrashTable
from martenrun.router.log import log_event, log_warning
from martenrun.router.messages import AdmittedRequest
from martenrun.router.runner_state import RunnerState

REBROADCAST_INTERVAL_S = 0.5
"""How often records that the store does not hold yet are broadcast again, in seconds."""

REBROADCAST_PERIOD_S = 30.0
"""How long records are broadcast again, in seconds.

During a longer outage of the store, other routers receive them when they join or when it ends.
"""

RECORDS_PER_DATAGRAM = 50
"""Records per datagram, 100 to 400 bytes each."""

SENDERS_PER_JOINING_ROUTER = 8
"""Approximate number of routers that send their records to a joining router."""

SENDERS_PER_COMPLETION = 8
"""Approximate number of routers that report that a part completed just before a crash."""

MAX_COMPLETED_PARTS = 4_096
"""Maximum number of parts whose last completion at this router is kept, about 150 bytes each."""

COMPLETED_PART_PERIOD_S = 60.0
"""How long such a completion speaks for a part, in seconds."""

TRIAL_INTERVAL_S = 1.0
"""Minimum time between two trials of a part by one router, in seconds."""


class CrashTracker:
    """The crash records of one router and the investigation of runner crashes.

    Args:
        broadcast: sends an update to all routers.
        request_report, probe: see :class:`martenrun.router.crashes.detector.CrashDetector`.
        rng: decides whether this router is one of those that send what many know.
        router_count: returns how many routers there are.
        count_closed_response: counts a response that ended with its connection, by the outcome
            of the check of its runner.
    """

    trial_interval_s = TRIAL_INTERVAL_S

    def __init__(
        self,
        loop: Loop,
        runners: RunnerView,
        broadcast: Callable[[CrashUpdate], None],
        request_report: RequestReport,
        probe: Probe = ConnectionProbe,
        rng: random.Random | None = None,
        router_count: Callable[[], int] = lambda: 1,
        count_closed_response: Callable[[str], None] = lambda _outcome: None,
    ) -> None:
        self._loop = loop
        self._runners = runners
        self._broadcast = broadcast
        self._rng = rng or random.Random()
        self._router_count = router_count
        self._count_closed_response = count_closed_response
        self._completed_parts: collections.OrderedDict[bytes, float] = collections.OrderedDict()
        self._trials: dict[bytes, float] = {}
        self._unstored: dict[bytes, float] = {}
        self._sent_at = 0.0
        self._blocked: set[bytes] = set()
        self.table = CrashTable()
        self.detector = CrashDetector(loop, runners, self._record_crashes, request_report, probe)
        self.stored_records: list[CrashRecord] = []

    # Requests

    def known_fingerprint(self, request: HttpRequest, admitted: AdmittedRequest) -> bytes | None:
        """Return the fingerprint of a request that has a crash record, else None."""
        if not len(self.table) or not self.table.has_prefix(fingerprint_prefix(request, admitted)):
            return None
        found = request_fingerprint(request, admitted)
        return found if self.table.has_record(found) else None

    def blocked_for_s(self, fingerprint: bytes | None) -> float:
        """Return the remaining block duration of a request in seconds; 0 if it is not blocked."""
        return (
            0.0 if fingerprint is None else self.table.blocked_for_s(fingerprint, self._loop.now())
        )

    def is_suspect(self, fingerprint: bytes | None) -> bool:
        """Whether a request may have crashed a runner."""
        return fingerprint is not None and self.table.crash_count(fingerprint) > 0

    def handle_disconnect(
        self, state: RunnerState, request: HttpRequest, admitted: AdmittedRequest
    ) -> None:
        """Handle a request whose connection closed before its response was complete."""
        self.detector.handle_disconnect(state, request_features(request, admitted))

    def check_outcome(
        self,
        state: RunnerState,
        admitted: AdmittedRequest,
        confirmation_s: float,
        on_outcome: Callable[[RunnerOutcome], None],
    ) -> None:
        """Find out whether the runner outlived a response that ended with its connection."""
        closed_at = self._loop.now()

        def on_checked(outcome: RunnerOutcome) -> None:
            self._count_closed_response(outcome.value)
            log_event(
                "closed_response_checked",
                request=admitted.call.request_id.decode("latin-1"),
                instance=state.runner.instance,
                outcome=outcome.value,
                is_draining=state.is_draining,
                wait_ms=round((self._loop.now() - closed_at) * 1000, 1),
            )
            on_outcome(outcome)

        self.detector.check_outcome(state, confirmation_s, on_checked)

    def record_restart(
        self, state: RunnerState, request: HttpRequest, admitted: AdmittedRequest
    ) -> None:
        """Record that a runner restarted while serving a request."""
        if not state.is_draining:
            self._record_crashes(state.runner.instance, [request_features(request, admitted)])

    def summaries(self) -> list[CrashSummary]:
        """Return the crash records as shown to operators."""
        return self.table.summaries(self._loop.now())

    def clear(self, fingerprint: bytes) -> bool:
        """Clear a request on behalf of an operator; return whether it has a crash record."""
        if not self.table.has_record(fingerprint):
            return False
        self.record_completion(fingerprint)
        return True

    def record_completion(self, fingerprint: bytes | None) -> None:
        """Record that a request completed at a runner."""
        if fingerprint is not None and self.table.record_completion(fingerprint, self._loop.now()):
            self._broadcast_new({fingerprint})

    def record_part_completions(self, parts: tuple[bytes, ...]) -> None:
        """Record that a request with these parts completed at a runner."""
        now = self._loop.now()
        for key in parts:
            self._completed_parts[key] = now
            self._completed_parts.move_to_end(key)
            if self.table.has_record(key):
                self.record_completion(key)
        while len(self._completed_parts) > MAX_COMPLETED_PARTS:
            self._completed_parts.popitem(last=False)

    def begin_trial(self, key: bytes) -> bool:
        """Return whether a request may be sent to learn whether a part crashes runners."""
        now = self._loop.now()
        self._trials = {
            each: at for each, at in self._trials.items() if now - at < TRIAL_INTERVAL_S
        }
        if key in self._trials:
            return False
        self._trials[key] = now
        log_event("part_trial", part=part_name(key))
        return True

    # Other routers and the store

    def handle_update(self, update: CrashUpdate) -> None:
        """Merge the records sent by another router."""
        self.table.merge(update.records, self._loop.now())
        self._report_completed({record.fingerprint for record in update.records})
        self._log_blocked()

    def merge_stored(self, records: list[CrashRecord]) -> None:
        """Merge the records held by the store."""
        self.stored_records = records
        self.table.merge(records, self._loop.now())
        self._report_completed({record.fingerprint for record in records})
        self._log_blocked()

    def missing_from_store(self) -> set[bytes]:
        """Return the requests whose records here contain more than the store's."""
        return self.table.missing_from(self.stored_records) if len(self.table) else set()

    def records_to_store(self, now: float) -> list[CrashRecord]:
        """Return the records to write to the store."""
        return self.table.records_to_store(self.stored_records, now)

    def update_for_joining_router(self, routers: int) -> CrashUpdate | None:
        """Return the records for a joining router; among many routers only a few send them."""
        if not len(self.table) or self._rng.random() > SENDERS_PER_JOINING_ROUTER / max(1, routers):
            return None
        records = self.table.records(self._loop.now())
        return CrashUpdate(records[:RECORDS_PER_DATAGRAM])

    def run_maintenance(self) -> None:
        """Broadcast records that may not have arrived, and drop expired ones."""
        now = self._loop.now()
        self.table.runners = self._runners.count()
        self.table.drop_expired(now)
        self._log_blocked()
        if not self._unstored or now - self._sent_at < REBROADCAST_INTERVAL_S:
            return
        missing = self.missing_from_store()
        self._unstored = {
            fingerprint: since
            for fingerprint, since in self._unstored.items()
            if fingerprint in missing and now - since < REBROADCAST_PERIOD_S
        }
        if self._unstored:
            self._broadcast_records(set(self._unstored))

    def _record_crashes(self, instance: str, requests: list[RequestFeatures]) -> None:
        now = self._loop.now()
        new = set()
        for features in requests:
            if self.table.record_crash(features.fingerprint, instance, now):
                new.add(features.fingerprint)
            for key in features.parts:
                if self._has_just_completed(key, now):
                    continue
                companions = frozenset(features.parts) - {key}
                if self.table.record_crash(key, instance, now, companions):
                    new.add(key)
        if new:
            self._broadcast_new(new)
            self._report_completed(new)
            self._log_blocked()

    def _has_just_completed(self, key: bytes, now: float) -> bool:
        """Whether a completion here is so recent that a crash now is no evidence against a part."""
        completed_at = self._completed_parts.get(key)
        return completed_at is not None and now - completed_at < COMPLETION_GRACE_S

    def _report_completed(self, keys: set[bytes]) -> None:
        """Report that parts with new evidence have lately completed here; a few routers do so."""
        now = self._loop.now()
        cleared = set()
        for key in keys:
            at = self._completed_parts.get(key)
            is_recent = at is not None and now - at < COMPLETED_PART_PERIOD_S
            if at is not None and is_recent and self.table.record_earlier_completion(key, at):
                cleared.add(key)
        if cleared and self._rng.random() < SENDERS_PER_COMPLETION / max(1, self._router_count()):
            self._broadcast_new(cleared)

    def _broadcast_new(self, fingerprints: set[bytes]) -> None:
        now = self._loop.now()
        self._unstored.update(dict.fromkeys(fingerprints, now))
        self._broadcast_records(fingerprints)

    def _broadcast_records(self, fingerprints: set[bytes]) -> None:
        self._sent_at = self._loop.now()
        records = self.table.records(self._sent_at, fingerprints)
        for first in range(0, len(records), RECORDS_PER_DATAGRAM):
            self._broadcast(CrashUpdate(records[first : first + RECORDS_PER_DATAGRAM]))

    def _log_blocked(self) -> None:
        """Log which requests have been blocked or unblocked since the last call."""
        blocked = set(self.table.blocked(self._loop.now())) if len(self.table) else set()
        for fingerprint in blocked - self._blocked:
            log_warning(
                "request_held_back",
                fingerprint=fingerprint.hex(),
                part=part_name(fingerprint),
                starts=self.table.crash_count(fingerprint),
            )
        for fingerprint in self._blocked - blocked:
            log_event("request_let_go", fingerprint=fingerprint.hex(), part=part_name(fingerprint))
        self._blocked = blocked
