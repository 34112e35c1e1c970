"""Planned stops of simulated processes: what the real processes' drains do, in virtual time.

See also: :meth:`martenrun.node.process.NodeProcess.drain`,
:meth:`martenrun.agent.process.AgentProcess.drain`.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from martenrun.simulation.scheduler import Scheduler

LOOK_INTERVAL_S = 0.05
"""Time between two looks at a condition, in seconds."""


@dataclass(frozen=True)
class DrainStep:
    """Wait while a condition holds, at most ``limit_s`` seconds."""

    is_waiting: Callable[[], bool]
    limit_s: float


class Drain:
    """Carries out the steps of one planned stop, one after another.

    Args:
        is_paused: whether the process is paused; its drain is, too.
        is_over: whether the process has ended meanwhile; the drain ends without a word.
        ended: is called after the last step.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        steps: Sequence[DrainStep],
        is_paused: Callable[[], bool],
        is_over: Callable[[], bool],
        ended: Callable[[], None],
    ) -> None:
        self._scheduler = scheduler
        self._steps = list(steps)
        self._is_paused = is_paused
        self._is_over = is_over
        self._ended = ended
        self._until = scheduler.now + self._steps[0].limit_s
        self._look()

    def _look(self) -> None:
        if self._is_over():
            return
        if not self._is_paused():
            self._advance()
        if self._steps:
            self._scheduler.after(LOOK_INTERVAL_S, self._look)
        else:
            self._ended()

    def _advance(self) -> None:
        now = self._scheduler.now
        while self._steps and (now >= self._until or not self._steps[0].is_waiting()):
            self._steps.pop(0)
            if self._steps:
                self._until = now + self._steps[0].limit_s
