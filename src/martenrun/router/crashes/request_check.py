"""The crash records that concern one request, and what they allow."""

from collections.abc import Callable

import attrs

from martenrun.net.http import HttpRequest
from martenrun.router.attempt import (
    STATUS_MULTIPLE_CHOICES,
    STATUS_SERVER_ERROR,
    Attempt,
    SentRequest,
)
from martenrun.router.crashes.features import part_keys, part_name
from martenrun.router.crashes.outcome_check import (
    BUFFERED_CONFIRMATION_S,
    STREAM_CONFIRMATION_S,
    RunnerOutcome,
)
from martenrun.router.crashes.tracker import CrashTracker
from martenrun.router.messages import AdmittedRequest
from martenrun.router.runner_state import RunnerState


@attrs.frozen
class Block:
    """What a request is blocked for, and how much longer, in seconds."""

    key: bytes
    left_s: float

    @property
    def part(self) -> str | None:
        """The id of the part of the prompt; None if the whole request is blocked."""
        return part_name(self.key)


class RequestCrashCheck:
    """Asks the crash records about one request; costs nothing while there are none."""

    def __init__(
        self, tracker: CrashTracker, request: HttpRequest, admitted: AdmittedRequest
    ) -> None:
        self._tracker = tracker
        self._request = request
        self._admitted = admitted
        self._parts: tuple[bytes, ...] | None = None
        self._fingerprint: bytes | None = None
        self._trial: bytes | None = None

    def block(self) -> Block | None:
        """Return why the request must not be sent now, or None if it may be.

        A request that may show which of several parts crashes runners is let through as a trial.
        """
        if not len(self._tracker.table):
            return None
        fingerprint = self._known_fingerprint()
        left_s = self._tracker.blocked_for_s(fingerprint)
        if fingerprint is not None and left_s:
            return Block(fingerprint, left_s)
        return self._part_block()

    def _part_block(self) -> Block | None:
        table, parts = self._tracker.table, self._part_keys()
        blocked = {key: self._tracker.blocked_for_s(key) for key in parts}
        undecided = []
        for key, left_s in blocked.items():
            if not left_s:
                continue
            if not table.is_ambiguous(key, parts):
                return Block(key, left_s)
            undecided.append(key)
        if not undecided or self._trial in undecided:
            return None
        if self._tracker.begin_trial(undecided[0]):
            self._trial = undecided[0]
            return None
        return Block(undecided[0], self._tracker.trial_interval_s)

    def placement_key(self) -> bytes | None:
        """Return the key by which all routers send the request to the same runner, or None.

        Requests that may crash runners then crash one at a time, and rarely one with others.
        """
        if not len(self._tracker.table):
            return None
        part = self._tracker.table.suspected_part(self._part_keys())
        if part is not None:
            return part
        fingerprint = self._known_fingerprint()
        return fingerprint if self._tracker.is_suspect(fingerprint) else None

    def forbids_sending(self, runs: int) -> bool:
        """Return whether the request is blocked, or would repeat a run that may have crashed.

        Args:
            runs: number of runners that may have executed the request.
        """
        if self.block() is not None:
            return True
        return runs > 0 and self._tracker.table.suspected_part(self._part_keys()) is not None

    def handle_disconnect(self, state: RunnerState) -> None:
        """Handle a connection that closed before the response was complete."""
        self._tracker.handle_disconnect(state, self._request, self._admitted)

    def record_restart(self, state: RunnerState) -> None:
        """Record that the runner restarted while serving the request."""
        self._tracker.record_restart(state, self._request, self._admitted)

    def record_completion(self, is_success: bool) -> None:
        """Record that the request completed; a success also clears the parts of its prompt."""
        self._tracker.record_completion(self._known_fingerprint())
        if is_success:
            self._tracker.record_part_completions(self._part_keys())

    def check_end(self, attempt: SentRequest, on_checked: Callable[[bool], None]) -> None:
        """Call back with whether a response that looks complete may have been cut.

        One that ended with its connection may have been, unless its runner is known to have
        outlived it; a completion is recorded only then.  One that ends right after the head of a
        success was cut, whether its runner lives or not.
        """
        is_success = attempt.status < STATUS_SERVER_ERROR

        def on_outcome(outcome: RunnerOutcome) -> None:
            if outcome is RunnerOutcome.ALIVE:
                self.record_completion(is_success)
            on_checked(outcome is not RunnerOutcome.ALIVE)

        if not isinstance(attempt, Attempt) or not attempt.ends_by_connection:
            on_outcome(RunnerOutcome.ALIVE)
        elif self._is_empty_success(attempt):
            on_checked(True)
        else:
            confirmation_s = (
                STREAM_CONFIRMATION_S if attempt.is_streamed else BUFFERED_CONFIRMATION_S
            )
            self._tracker.check_outcome(attempt.state, self._admitted, confirmation_s, on_outcome)

    def _is_empty_success(self, attempt: Attempt) -> bool:
        if attempt.is_streamed or attempt.body or self._request.method == b"HEAD":
            return False
        return attempt.status < STATUS_MULTIPLE_CHOICES

    def _part_keys(self) -> tuple[bytes, ...]:
        if self._parts is None:
            self._parts = part_keys(self._admitted.call)
        return self._parts

    def _known_fingerprint(self) -> bytes | None:
        if self._fingerprint is None:
            self._fingerprint = self._tracker.known_fingerprint(self._request, self._admitted)
        return self._fingerprint
