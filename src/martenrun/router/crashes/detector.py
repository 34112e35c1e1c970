"""Determines whether a runner crashed when the connections of its requests break.

A broken connection is no proof: it may have been reset, cut, or closed by a runner that keeps
running.  The router therefore probes the runner's address with a new connection:

- Refused: the process has exited.  The machine refuses connections at once, and for seconds, until
  the next instance listens.  A partition may refuse connections to all runners as well, so another
  runner must be reachable from here.
- Accepted and kept open, twice: the runner is alive.  One acceptance is not enough because a proxy
  in between may be slow to notice the exit.
- Anything else is inconclusive, and the probe is repeated a few times.  A connection that is closed
  at once may come from a proxy, from a process that is exiting, or from a runner with too many
  connections.  A refusal is inconclusive while a kept-alive connection is still open.

A response that ends with its connection looks complete if the runner crashes, too; see
:mod:`martenrun.router.crashes.outcome_check`.

A listed entry of a later instance also proves the exit.  Disconnects by a draining runner are
expected and are not counted as a crash.
"""

import errno
from collections.abc import Callable

import attrs

from martenrun.net.loop import Loop, Timer
from martenrun.net.periodic import call_safely
from martenrun.net.stream import Stream, open_stream
from martenrun.router.crashes.features import RequestFeatures, part_name
from martenrun.router.crashes.outcome_check import (
    OutcomeCheck,
    Probe,
    RequestReport,
    RunnerOutcome,
)
from martenrun.router.log import log_event, log_warning
from martenrun.router.messages import Runner
from martenrun.router.runner_state import RunnerState

PROBE_TIMEOUT_S = 0.4
"""Timeout of a connection attempt, in seconds."""

MIN_OPEN_S = 0.03
"""How long an accepted connection must stay open to show that the runner is alive, in seconds."""

CONFIRMATION_DELAY_S = 0.25
"""Delay before an accepted probe is repeated, in seconds."""

RETRY_DELAYS_S = (0.05, 0.1, 0.2, 0.4, 0.8)
"""Delays before an inconclusive probe is repeated, in seconds."""

MAX_LOGGED = 8
"""Maximum number of requests that the log of a crash names."""

INVESTIGATION_S = 8.0
"""How long disconnects are kept while it is unknown whether the runner crashed, in seconds.

The entry of a crashed instance is replaced about five seconds after the crash at the latest.
"""


class Investigation:
    """The requests whose connections to a runner instance broke, and whether it crashed."""

    def __init__(self, runner: Runner, now: float) -> None:
        self.runner = runner
        self.began_at = now
        self.has_crashed = False
        self.is_probing = False
        self.probe_count = 0
        self.was_accepted = False
        self.next_probe: Timer | None = None
        self.requests: list[RequestFeatures] = []
        self.callbacks: list[Callable[[], None]] = []


class ConnectionProbe:
    """Opens a connection to check whether a process listens; see :class:`StreamOwner`.

    Args:
        on_result: called once with whether the connection was refused, None if inconclusive.
    """

    def __init__(self, loop: Loop, address: str, on_result: Callable[[bool | None], None]) -> None:
        self._loop = loop
        self._on_result = on_result
        self._is_over = False
        self._stream: Stream | None = None
        self._timer: Timer = loop.call_later(PROBE_TIMEOUT_S, lambda: self._finish(None))
        try:
            self._stream = open_stream(loop, address, self)
        except OSError as exc:
            refused = exc.errno == errno.ECONNREFUSED or None
            loop.call_later(0.0, lambda: self._finish(refused))

    def on_connected(self) -> None:
        """Report the connection as accepted if it stays open."""
        self._timer.cancel()
        self._timer = self._loop.call_later(MIN_OPEN_S, lambda: self._finish(False))

    def on_data(self, data: bytes) -> None:
        """Ignore received data."""

    def on_closed(self, is_clean: bool) -> None:
        """Report a refusal, or an inconclusive result if the connection was closed otherwise."""
        refused = self._stream is not None and self._stream.error == errno.ECONNREFUSED
        self._finish(True if refused else None)

    def on_drained(self) -> None:
        """Do nothing: the probe sends no data."""

    def _finish(self, refused: bool | None) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._timer.cancel()
        if self._stream is not None:
            self._stream.close()
        self._on_result(refused)


@attrs.frozen
class RunnerView:
    """The required view of the runners.

    Attributes:
        is_listed: returns whether a runner's state belongs to the listed instance.
        has_restarted: returns whether a later instance under the same runner id is known.
        instances_at: returns the instances listed at an address.
        count: returns the number of listed runners.
        has_connection: returns whether a kept-alive connection to an instance is still open.
        has_other_data: returns whether another runner has sent data since a time.
        other_addresses: returns the addresses of the other runners, in the order to probe them.
    """

    is_listed: Callable[[RunnerState], bool]
    has_restarted: Callable[[Runner], bool]
    instances_at: Callable[[str], list[str]]
    has_connection: Callable[[str], bool]
    count: Callable[[], int]
    has_other_data: Callable[[str, float], bool]
    other_addresses: Callable[[str], list[str]]


class CrashDetector:
    """Investigates the runner instances whose connections broke recently.

    Args:
        on_crashed: called with a crashed instance and the features of its requests.
        request_report: requests a runner's report and passes it on, None if there is none.
        probe: opens a connection to an address and reports the result.
    """

    def __init__(
        self,
        loop: Loop,
        runners: RunnerView,
        on_crashed: Callable[[str, list[RequestFeatures]], None],
        request_report: RequestReport,
        probe: Probe = ConnectionProbe,
    ) -> None:
        self._loop = loop
        self._runners = runners
        self._on_crashed = on_crashed
        self._request_report = request_report
        self._probe = probe
        self._investigations: dict[str, Investigation] = {}

    def handle_disconnect(self, state: RunnerState, features: RequestFeatures) -> None:
        """Handle a request whose connection closed before its response was complete."""
        runner = state.runner
        if state.is_draining:
            return
        if self._runners.has_restarted(runner):
            # The entry of a later instance arrived before this connection broke.
            self._on_crashed(runner.instance, [features])
            return
        if not self._runners.is_listed(state):
            return
        investigation = self._investigations.get(runner.instance)
        now = self._loop.now()
        if investigation is None or (
            now - investigation.began_at > INVESTIGATION_S and not investigation.has_crashed
        ):
            investigation = self._investigations[runner.instance] = Investigation(runner, now)
        if investigation.has_crashed:
            self._on_crashed(runner.instance, [features])
            return
        investigation.requests.append(features)
        if not investigation.is_probing and investigation.next_probe is None:
            self._start_probe(investigation)

    def check_outcome(
        self,
        state: RunnerState,
        confirmation_s: float,
        on_outcome: Callable[[RunnerOutcome], None],
    ) -> None:
        """Find out whether a runner outlived a response that has just ended with its connection.

        If it is not known to have, the caller reports the disconnect by :meth:`handle_disconnect`.

        Args:
            confirmation_s, on_outcome: see
                :class:`martenrun.router.crashes.outcome_check.OutcomeCheck`.
        """
        OutcomeCheck(
            self._loop, state, self._request_report, self._probe, confirmation_s, on_outcome
        ).start()

    def call_when_resolved(self, instance: str, callback: Callable[[], None]) -> None:
        """Call back once it is known whether an instance crashed, or if that stays unknown."""
        investigation = self._investigations.get(instance)
        if investigation is None or not investigation.is_probing:
            callback()
        else:
            investigation.callbacks.append(callback)

    def check_replaced(self) -> None:
        """Check whether listed runners show that an investigated instance was replaced."""
        now = self._loop.now()
        for instance, investigation in list(self._investigations.items()):
            if now - investigation.began_at > INVESTIGATION_S:
                del self._investigations[instance]
            elif (
                not investigation.has_crashed
                and investigation.requests
                and self._is_replaced(investigation.runner)
            ):
                self._confirm_crash(investigation)

    def _is_replaced(self, runner: Runner) -> bool:
        if self._runners.has_restarted(runner):
            return True
        return any(other != runner.instance for other in self._runners.instances_at(runner.address))

    def is_investigating(self) -> bool:
        """Whether any investigation is still in progress."""
        return any(
            investigation.is_probing or investigation.next_probe is not None
            for investigation in self._investigations.values()
        )

    def _start_probe(self, investigation: Investigation) -> None:
        investigation.is_probing = True
        investigation.probe_count += 1
        address = investigation.runner.address
        self._probe(
            self._loop, address, lambda refused: self._handle_result(investigation, refused)
        )

    def _schedule_probe(self, investigation: Investigation, delay_s: float) -> None:
        investigation.next_probe = self._loop.call_later(
            delay_s, lambda: self._repeat_probe(investigation)
        )

    def _repeat_probe(self, investigation: Investigation) -> None:
        investigation.next_probe = None
        if (
            self._investigations.get(investigation.runner.instance) is investigation
            and not investigation.has_crashed
        ):
            self._start_probe(investigation)

    def _handle_result(self, investigation: Investigation, refused: bool | None) -> None:
        investigation.is_probing = False
        log_event(
            "runner_probed",
            instance=investigation.runner.instance,
            answer={True: "refused", False: "accepted", None: "inconclusive"}[refused],
            has_connection=self._runners.has_connection(investigation.runner.instance),
            runs=len(investigation.requests),
        )
        if not refused:
            self._apply_result(investigation, refused)
        elif self._runners.has_connection(investigation.runner.instance):
            self._apply_result(investigation, None)
        else:
            self._check_other_runner(investigation)

    def _check_other_runner(self, investigation: Investigation) -> None:
        """Confirm a crash if this router still reaches another runner."""
        instance = investigation.runner.instance
        addresses = self._runners.other_addresses(instance)
        if not addresses or self._runners.has_other_data(instance, investigation.began_at):
            self._apply_result(investigation, True)
            return

        def on_result(refused: bool | None) -> None:
            self._apply_result(investigation, True if refused is False else None)

        investigation.is_probing = True
        self._probe(self._loop, addresses[0], on_result)

    def _apply_result(self, investigation: Investigation, refused: bool | None) -> None:
        """Apply the result of a probe; True only if the refusal proves the crash."""
        investigation.is_probing = False
        if investigation.has_crashed:
            # The entry of a later instance proved the crash first.
            pass
        elif refused:
            self._confirm_crash(investigation)
        elif refused is False and investigation.was_accepted:
            # The runner is alive; only a connection broke.
            self._investigations.pop(investigation.runner.instance, None)
        elif refused is False and investigation.probe_count == 1:
            investigation.was_accepted = True
            self._schedule_probe(investigation, CONFIRMATION_DELAY_S)
        elif refused is False:
            # A later instance may have accepted it; only its listed entry can prove the crash.
            investigation.probe_count = len(RETRY_DELAYS_S) + 1
        elif investigation.probe_count <= len(RETRY_DELAYS_S):
            self._schedule_probe(investigation, RETRY_DELAYS_S[investigation.probe_count - 1])
        callbacks, investigation.callbacks = investigation.callbacks, []
        for callback in callbacks:
            call_safely("crash_resolved", callback)

    def _confirm_crash(self, investigation: Investigation) -> None:
        investigation.has_crashed = True
        requests, investigation.requests = investigation.requests, []
        log_warning(
            "runner_ended_under_requests",
            instance=investigation.runner.instance,
            runs=len(requests),
            fingerprints=" ".join(each.fingerprint.hex() for each in requests[:MAX_LOGGED]),
            parts=" ".join(_part_names(each) for each in requests[:MAX_LOGGED]),
        )
        instance = investigation.runner.instance
        call_safely("runner_crashed", self._on_crashed, instance, requests)


def _part_names(features: RequestFeatures) -> str:
    """Return the ids of a request's shared parts, separated by commas."""
    return ",".join(part_name(key) or "" for key in features.parts) or "-"
