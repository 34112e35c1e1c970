"""Tells runners that are down from sound ones that are silent for a while."""

from collections.abc import Callable

import attrs

from martenrun.net.loop import Loop
from martenrun.router.crashes.detector import ConnectionProbe
from martenrun.router.runner_state import RunnerState

PROBE_VALIDITY_S = 2.0
"""Time for which the result of a probe is valid, in seconds."""


@attrs.define
class RunnerProbe:
    """A probe of one runner; ``has_failed`` is None until it has ended."""

    started_at: float
    has_failed: bool | None = None


class SilentRunners:
    """Probes silent runners: one that accepts no connections is down.

    Args:
        probe: opens a connection to an address and reports whether it was refused, None if that
            stays unknown.
    """

    def __init__(
        self,
        loop: Loop,
        probe: Callable[[Loop, str, Callable[[bool | None], None]], object] = ConnectionProbe,
    ) -> None:
        self._loop = loop
        self._probe = probe
        self._probes: dict[str, RunnerProbe] = {}

    def is_down(self, state: RunnerState, now: float) -> bool:
        """Return whether a silent runner has failed a probe since its last data; starts a probe."""
        instance = state.runner.instance
        known = self._probes.get(instance)
        if known is not None and known.started_at >= max(
            state.last_data_at, now - PROBE_VALIDITY_S
        ):
            return known.has_failed is True
        started = self._probes[instance] = RunnerProbe(now)

        def on_result(refused: bool | None) -> None:
            started.has_failed = refused is not False

        self._probe(self._loop, state.runner.address, on_result)
        return False

    def forget_unlisted(self, instances: set[str]) -> None:
        """Forget the probes of runners that are not among those listed."""
        self._probes = {key: item for key, item in self._probes.items() if key in instances}
