"""Checks by a runner's own report that it is still the instance that its entry describes.

A runner may restart under its id with other software, and its entry may be old by the time that the
store is away.  The report names the start time of the process.  Entries without a start time
describe runners that get a new id at each start, which the runner itself verifies.
"""

from collections.abc import Callable

from martenrun.net.http import STATUS_OK, HttpResponse
from martenrun.net.loop import Loop
from martenrun.router.log import log_warning
from martenrun.router.messages import HttpCall, RunnerReport, UnreadableError
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
        on_restarted: called when a runner is found to have restarted.
        record_response: records what a response announces about a runner.
    """

    def __init__(
        self,
        loop: Loop,
        probe: Probe,
        report_request: Callable[[], HttpCall],
        read_report: Callable[[bytes], RunnerReport],
        may_be_mixed: Callable[[str], bool],
        on_restarted: Callable[[], None] = lambda: None,
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
        """Return whether a runner must be checked before a begun stream is sent to it."""
        return (
            self._may_be_stale(state)
            and self._loop.now() - state.instance_checked_at > CHECK_VALIDITY_S
        )

    def run(self, state: RunnerState, on_done: Callable[[], None]) -> None:
        """Check a runner; the callback is called once the result, if any, is applied."""
        instance = state.runner.instance
        waiting = self._waiting.get(instance)
        if waiting is not None:
            waiting.append(on_done)
            return
        self._waiting[instance] = [on_done]
        sent_at = self._loop.now()

        def on_response(response: HttpResponse | None) -> None:
            self._record_response(state, response)
            self._apply(state, response, sent_at)
            for call in self._waiting.pop(instance, ()):
                call()

        self._probe(state.runner.address, self._report_request(), on_response)

    def run_for_connection(self, state: RunnerState, opened_at: float) -> None:
        """Check a runner unless a check since its connection was opened has succeeded."""
        is_unchecked = opened_at >= state.instance_checked_at
        if is_unchecked and self._may_be_stale(state) and self._may_be_mixed(state.runner.service):
            self.run(state, lambda: None)

    @staticmethod
    def _may_be_stale(state: RunnerState) -> bool:
        return state.runner.started_at_ms is not None and not state.has_restarted

    def _apply(self, state: RunnerState, response: HttpResponse | None, sent_at: float) -> None:
        state.instance_checked_at = sent_at
        if response is None or response.status != STATUS_OK:
            return
        try:
            report = self._read_report(response.body)
        except UnreadableError:
            return
        if report.started_at_ms is not None and report.started_at_ms != state.runner.started_at_ms:
            state.has_restarted = True
            log_warning("runner_restarted_unlisted", instance=state.runner.instance)
            self._on_restarted()
