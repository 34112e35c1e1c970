"""Determines whether a runner crashed when the connections of its requests break.

A broken connection is no proof: it may have been reset, cut, or closed by a runner that keeps
running.  The router therefore probes the runner's address with a new connection:

- Refused: the process has exited.  The machine refuses connections at once, and for seconds, until
  the next instance listens.
- Accepted and kept open, twice: the runner is alive.  One acceptance is not enough because a proxy
  in between may be slow to notice the exit.
- Anything else is inconclusive, and the probe is repeated a few times.  A connection that is closed
  at once may come from a proxy, from a process that is exiting, or from a runner with too many
  connections.  A refusal is inconclusive while a kept-alive connection is still open.

A listed entry of a later instance also proves the exit.  Disconnects by a draining runner are
expected and are not counted as a crash.
"""

import errno
from collections.abc import Callable

import attrs

from martenrun.net.loop import Loop, Timer
from martenrun.net.stream import Stream, open_stream
from martenrun.router.log import log_event, log_trouble
from martenrun.router.messages import Runner
from martenrun.router.runner_state import RunnerState

ANSWER_S = 0.4
"""Timeout of a connection attempt, in seconds."""

KEPT_S = 0.03
"""How long an accepted connection must stay open to show that the runner is alive, in seconds."""

CONFIRMED_S = 0.25
"""Delay before an accepted probe is repeated, in seconds."""

PAUSES_S = (0.05, 0.1, 0.2, 0.4, 0.8)
"""Delays before an inconclusive probe is repeated, in seconds."""

REMEMBERED_S = 8.0
"""How long disconnects are kept while it is unknown whether the runner crashed, in seconds.

The entry of a crashed instance is replaced about five seconds after the crash at the latest.
"""


class Case:
    """The requests whose connections to a runner instance broke, and whether it crashed."""

    def __init__(self, runner: Runner, now: float) -> None:
        self.runner = runner
        self.began_at = now
        self.has_ended = False
        self.is_asking = False
        self.probes = 0
        self.was_accepted = False
        self.next_probe: Timer | None = None
        self.runs: list[bytes] = []
        self.waiting: list[Callable[[], None]] = []


class Probe:
    """Opens a connection to check whether a process listens; see :class:`StreamOwner`.

    Args:
        on_result: called once with whether the connection was refused, None if inconclusive.
    """

    def __init__(self, loop: Loop, address: str, on_answer: Callable[[bool | None], None]) -> None:
        self._loop = loop
        self._on_answer = on_answer
        self._is_over = False
        self._stream: Stream | None = None
        self._timer: Timer = loop.call_later(ANSWER_S, lambda: self._end(None))
        try:
            self._stream = open_stream(loop, address, self)
        except OSError as exc:
            refused = exc.errno == errno.ECONNREFUSED or None
            loop.call_later(0.0, lambda: self._end(refused))

    def on_connected(self) -> None:
        """Report the connection as accepted if it stays open."""
        self._timer.cancel()
        self._timer = self._loop.call_later(KEPT_S, lambda: self._end(False))

    def on_data(self, data: bytes) -> None:
        """Ignore received data."""

    def on_closed(self, is_clean: bool) -> None:
        """Report a refusal, or an inconclusive result if the connection was closed otherwise."""
        refused = self._stream is not None and self._stream.error == errno.ECONNREFUSED
        self._end(True if refused else None)

    def on_drained(self) -> None:
        """Do nothing: the probe sends no data."""

    def _end(self, refused: bool | None) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._timer.cancel()
        if self._stream is not None:
            self._stream.close()
        self._on_answer(refused)


@attrs.frozen
class RunnerKnowledge:
    """The required view of the runners.

    Attributes:
        is_listed: returns whether a runner's state belongs to the listed instance.
        has_restarted: returns whether a later instance under the same runner id is known.
        instances_at: returns the instances listed at an address.
        count: returns the number of listed runners.
        has_connection: returns whether a kept-alive connection to an instance is still open.
    """

    is_listed: Callable[[RunnerState], bool]
    has_ended: Callable[[Runner], bool]
    others_at: Callable[[str], list[str]]
    has_connection: Callable[[str], bool]
    count: Callable[[], int]


class CrashWatch:
    """Investigates the runner instances whose connections broke recently.

    Args:
        on_crashed: called with a crashed instance and the fingerprints of its requests.
        probe: opens a connection to an address and reports the result.
    """

    def __init__(
        self,
        loop: Loop,
        runners: RunnerKnowledge,
        on_ended: Callable[[str, list[bytes]], None],
        probe: Callable[[Loop, str, Callable[[bool | None], None]], object] = Probe,
    ) -> None:
        self._loop = loop
        self._runners = runners
        self._on_ended = on_ended
        self._probe = probe
        self._cases: dict[str, Case] = {}

    def note_broken(self, state: RunnerState, run: bytes) -> None:
        """Handle a request whose connection closed before its response was complete."""
        runner = state.runner
        if runner.is_draining:
            return
        if self._runners.has_ended(runner):
            # The entry of a later instance arrived before this connection broke.
            self._on_ended(runner.instance, [run])
            return
        if not self._runners.is_listed(state):
            return
        case = self._cases.get(runner.instance)
        now = self._loop.now()
        if case is None or (now - case.began_at > REMEMBERED_S and not case.has_ended):
            case = self._cases[runner.instance] = Case(runner, now)
        if case.has_ended:
            self._on_ended(runner.instance, [run])
            return
        case.runs.append(run)
        if not case.is_asking and case.next_probe is None:
            self._ask(case)

    def when_known(self, instance: str, call: Callable[[], None]) -> None:
        """Call back once it is known whether an instance crashed, or if that stays unknown."""
        case = self._cases.get(instance)
        if case is None or not case.is_asking:
            call()
        else:
            case.waiting.append(call)

    def look_again(self) -> None:
        """Check whether listed runners show that an investigated instance was replaced."""
        now = self._loop.now()
        for instance, case in list(self._cases.items()):
            if now - case.began_at > REMEMBERED_S:
                del self._cases[instance]
            elif not case.has_ended and case.runs and self._is_replaced(case.runner):
                self._end(case)

    def _is_replaced(self, runner: Runner) -> bool:
        if self._runners.has_ended(runner):
            return True
        return any(other != runner.instance for other in self._runners.others_at(runner.address))

    def has_open_cases(self) -> bool:
        """Whether any investigation is still in progress."""
        return any(case.is_asking or case.next_probe is not None for case in self._cases.values())

    def _ask(self, case: Case) -> None:
        case.is_asking = True
        case.probes += 1
        address = case.runner.address
        self._probe(self._loop, address, lambda refused: self._answered(case, refused))

    def _ask_later(self, case: Case, pause_s: float) -> None:
        case.next_probe = self._loop.call_later(pause_s, lambda: self._ask_again(case))

    def _ask_again(self, case: Case) -> None:
        case.next_probe = None
        if self._cases.get(case.runner.instance) is case and not case.has_ended:
            self._ask(case)

    def _answered(self, case: Case, refused: bool | None) -> None:
        case.is_asking = False
        log_event(
            "runner_probed",
            instance=case.runner.instance,
            answer={True: "refused", False: "accepted", None: "inconclusive"}[refused],
            has_connection=self._runners.has_connection(case.runner.instance),
            runs=len(case.runs),
        )
        if case.has_ended:
            # The entry of a later instance proved the crash first.
            pass
        elif refused and not self._runners.has_connection(case.runner.instance):
            self._end(case)
        elif refused is False and case.was_accepted:
            # The runner is alive; only a connection broke.
            self._cases.pop(case.runner.instance, None)
        elif refused is False and case.probes == 1:
            case.was_accepted = True
            self._ask_later(case, CONFIRMED_S)
        elif refused is False:
            # A later instance may have accepted it; only its listed entry can prove the crash.
            case.probes = len(PAUSES_S) + 1
        elif case.probes <= len(PAUSES_S):
            self._ask_later(case, PAUSES_S[case.probes - 1])
        waiting, case.waiting = case.waiting, []
        for call in waiting:
            call()

    def _end(self, case: Case) -> None:
        case.has_ended = True
        runs, case.runs = case.runs, []
        log_trouble(
            "runner_ended_under_requests",
            instance=case.runner.instance,
            runs=len(runs),
            fingerprints=" ".join(run.hex() for run in runs[:8]),
        )
        self._on_ended(case.runner.instance, runs)
