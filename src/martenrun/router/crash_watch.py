"""Finds out whether a runner has ended when the runs at it break.

A connection that ends proves nothing: it may have been reset, cut, or closed by a runner that goes
on.  So a router whose runs break opens a connection to the runner's address.  Where a process has
ended the machine refuses it at once, and it is refused for seconds, until the next start; whoever
accepts it and keeps it, twice, lives: something in between may be slow to notice the end.  One that
is accepted and closed at once, by something in between, by a process that is just ending or by a
runner that has too many, says nothing, and neither does a refusal while a kept connection is still
open: the probe is repeated a few times.  An entry of a later start proves the end as well.

A runner that is leaving ends by a plan: what it breaks off then is no sign of a crash.
"""

import errno
from collections.abc import Callable

import attrs

from martenrun.net.loop import Loop, Timer
from martenrun.net.stream import Stream, open_stream
from martenrun.router.log import log_event, log_warning
from martenrun.router.messages import Runner
from martenrun.router.runner_state import RunnerState

ANSWER_S = 0.4
"""How long a connection may take to be refused or to come up, in seconds."""

KEPT_S = 0.03
"""How long an accepted connection must stay open to be a sign of life, in seconds."""

CONFIRMED_S = 0.25
"""Pause before an accepted probe is repeated, in seconds."""

PAUSES_S = (0.05, 0.1, 0.2, 0.4, 0.8)
"""Pauses before an inconclusive probe is repeated, in seconds."""

REMEMBERED_S = 8.0
"""How long runs that broke wait for a proof that their runner ended, in seconds.

The entry of a start that ended is replaced within five seconds or so of its end.
"""


class Case:
    """Runs that broke at one start of a runner, and whether it has ended."""

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
    """One connection opened to see whether anybody listens; see :class:`StreamOwner`.

    Args:
        on_answer: called once: whether it was refused, or None if nothing came in time.
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
        """Somebody listens there, and lives if the connection stays."""
        self._timer.cancel()
        self._timer = self._loop.call_later(KEPT_S, lambda: self._end(False))

    def on_data(self, data: bytes) -> None:
        """Nothing is expected."""

    def on_closed(self, is_clean: bool) -> None:
        """The connection did not come up, or was closed at once."""
        refused = self._stream is not None and self._stream.error == errno.ECONNREFUSED
        self._end(True if refused else None)

    def on_drained(self) -> None:
        """Nothing is sent."""

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
    """What a watch asks of what is known of runners.

    Attributes:
        is_listed: whether the state of a runner is the listed one's.
        has_ended: whether a later start under the same id is known.
        others_at: the instances listed at an address.
        count: how many runners are listed.
        has_connection: whether a connection kept to a runner is still open.
    """

    is_listed: Callable[[RunnerState], bool]
    has_ended: Callable[[Runner], bool]
    others_at: Callable[[str], list[str]]
    has_connection: Callable[[str], bool]
    count: Callable[[], int]


class CrashWatch:
    """Keeps the cases of the runners at which runs broke lately.

    Args:
        on_ended: called with a start that has ended and the runs that broke there.
        probe: opens a connection to an address and tells what came of it.
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
        """Take in that the connection of a run ended before its answer did."""
        runner = state.runner
        if runner.is_draining:
            return
        if self._runners.has_ended(runner):
            # The entry of a later start came before this run broke.
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
        """Make a call as soon as it is known whether a runner has ended, or cannot be known."""
        case = self._cases.get(instance)
        if case is None or not case.is_asking:
            call()
        else:
            case.waiting.append(call)

    def look_again(self) -> None:
        """Take in that other runners are listed: a later start proves that one has ended."""
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
        """Whether it may soon be known of some runner whether it has ended."""
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
            # A later start proved it first.
            pass
        elif refused and not self._runners.has_connection(case.runner.instance):
            self._end(case)
        elif refused is False and case.was_accepted:
            # It lives: what broke there was a connection.
            self._cases.pop(case.runner.instance, None)
        elif refused is False and case.probes == 1:
            case.was_accepted = True
            self._ask_later(case, CONFIRMED_S)
        elif refused is False:
            # A later start may have accepted it: only its entry tells.
            case.probes = len(PAUSES_S) + 1
        elif case.probes <= len(PAUSES_S):
            self._ask_later(case, PAUSES_S[case.probes - 1])
        waiting, case.waiting = case.waiting, []
        for call in waiting:
            call()

    def _end(self, case: Case) -> None:
        case.has_ended = True
        runs, case.runs = case.runs, []
        log_warning(
            "runner_ended_under_requests",
            instance=case.runner.instance,
            runs=len(runs),
            fingerprints=" ".join(run.hex() for run in runs[:8]),
        )
        self._on_ended(case.runner.instance, runs)
