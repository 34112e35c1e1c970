"""Checks by a runner's own report that it is still the instance that its entry describes.

A runner may restart under its id with other software, and its entry may be old by the time that the
store is away.  The report names the start time of the process.  Entries without a start time
describe runners that get a new id at each start, which the runner itself verifies.
"""

from collections.abc import Callable

from martenrun.net.http import STATUS_OK, HttpResponse
from martenrun.net.loop import Loop
from martenrun.net.periodic import call_safely, record_failure
from martenrun.router.log import log_warning
from martenrun.router.messages import HttpCall, Runner, RunnerReport, UnreadableError
from martenrun.router.runner_state import RunnerState

CHECK_VALIDITY_S = 0.5
"""Time for which a check counts before a begun stream is sent to a runner, in seconds."""

Probe = Callable[[str, HttpCall, Callable[[HttpResponse | None], None]], None]
"""Sends a call to an address and passes on the response, or None on failure."""


class InstanceCheck:
    """Checks runners before begun streams are sent to them, and when connections are opened.

    New streams need no check while a single software version serves.  Begun ones do: only the
    report of a runner that has restarted may show its new version.

    Args:
        may_be_mixed: returns whether several software versions of a service may serve.
        on_restarted: called with a runner that is found to have restarted.
        record_response: records what a response announces about a runner.
    """

    def __init__(
        self,
        loop: Loop,
        probe: Probe,
        report_request: Callable[[], HttpCall],
        read_report: Callable[[bytes], RunnerReport],
        may_be_mixed: Callable[[str], bool],
        on_restarted: Callable[[Runner], None] = lambda _runner: None,
        record_response: Callable[[RunnerState, HttpResponse | None], None] = (
            lambda _state, _response: None
        ),
    ) -> None:
        self._loop = loop
        self._probe = probe
        self._report_request = report_request
        self._read_report = read_report
        self._may_be_mixed = may_be_mixed
        self._on_restarted = on_restarted
        self._record_response = record_response
        self._waiting: dict[str, list[Callable[[], None]]] = {}

    def is_due(self, state: RunnerState) -> bool:
        """Return whether a runner must be checked before a begun stream is sent to it.

        A connection that broke since the last check may be the sign of a restart.
        """
        if not self._may_be_stale(state):
            return False
        is_old = self._loop.now() - state.instance_checked_at > CHECK_VALIDITY_S
        return is_old or state.instance_checked_at < state.connection_broken_at

    def run(self, state: RunnerState, on_done: Callable[[], None]) -> None:
        """Check a runner; the callback is called once the result, if any, is applied.

        A check without a readable report confirms nothing: :meth:`is_due` stays true.
        """
        instance = state.runner.instance
        waiting = self._waiting.get(instance)
        if waiting is not None:
            waiting.append(on_done)
            return
        self._waiting[instance] = [on_done]
        sent_at = self._loop.now()

        def on_report(report: RunnerReport | None) -> None:
            waiting = self._waiting.pop(instance, ())
            if report is not None:
                call_safely("apply_report", self._apply, state, report, sent_at)
            for call in waiting:
                call_safely("runner_checked", call)

        self.request_report(state, on_report)

    def run_for_connection(self, state: RunnerState, opened_at: float) -> None:
        """Check a runner unless a check since its connection was opened has succeeded."""
        is_unchecked = opened_at >= state.instance_checked_at
        if is_unchecked and self._may_be_stale(state) and self._may_be_mixed(state.runner.service):
            self.run(state, lambda: None)

    def confirm_start(
        self,
        state: RunnerState,
        opened_at: float,
        is_broken: bool,
        on_confirmed: Callable[[bool], None],
    ) -> None:
        """Find out whether a response was written by the start that a runner's entry describes.

        A report since the connection was opened tells; it is requested if there is none.  Without
        any, the response counts as written by that start while a single software version serves.

        Args:
            opened_at: when the connection was opened, in seconds.
            is_broken: whether the connection broke, which may be the sign of a restart.
            on_confirmed: called with the result.
        """
        is_mixed = self._may_be_mixed(state.runner.service)
        is_unchecked = self._may_be_stale(state) and opened_at >= state.instance_checked_at
        if not is_unchecked or not (is_mixed or is_broken):
            on_confirmed(True)
            return

        def on_checked() -> None:
            on_confirmed(not is_mixed or state.instance_checked_at > opened_at)

        self.run(state, on_checked)

    @staticmethod
    def _may_be_stale(state: RunnerState) -> bool:
        return state.runner.started_at_ms is not None and not state.has_restarted

    def request_report(
        self, state: RunnerState, on_report: Callable[[RunnerReport | None], None]
    ) -> None:
        """Request a runner's report; passes on None if no readable one is received."""

        def on_response(response: HttpResponse | None) -> None:
            call_safely("record_response", self._record_response, state, response)
            report = None
            if response is not None and response.status == STATUS_OK:
                try:
                    report = self._read_report(response.body)
                except UnreadableError:
                    report = None
                except Exception as exc:
                    # Whoever asked for the report waits for the end of this check.
                    record_failure("read_report", exc)
            on_report(report)

        self._probe(state.runner.address, self._report_request(), on_response)

    def _apply(self, state: RunnerState, report: RunnerReport, sent_at: float) -> None:
        state.instance_checked_at = sent_at
        if is_of_other_start(report, state.runner):
            state.has_restarted = True
            log_warning("runner_restarted_unlisted", instance=state.runner.instance)
            self._on_restarted(state.runner)


def is_of_other_start(report: RunnerReport, runner: Runner) -> bool:
    """Return whether a report names another start time of the process than its entry."""
    starts = (report.started_at_ms, runner.started_at_ms)
    return None not in starts and starts[0] != starts[1]
