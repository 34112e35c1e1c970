"""Broadcasts which weights runners are loading or have loaded."""

from martenrun.net.loop import Loop
from martenrun.router.peer_messages import WeightsUpdate
from martenrun.router.peers import Peers
from martenrun.router.request_services import RequestServices
from martenrun.router.runner_state import LOADING_TIMEOUT_S, RunnerState

BATCH_WINDOW_S = 0.02
"""Time for which updates about runners are batched before they are broadcast, in seconds.

If 59 runners start to load at once, separate updates to 195 routers are 11,500 datagrams.  On a
10 Mbit/s link they delay the runners' reports, so that loads are postponed for lack of a report,
started again and broadcast again.
"""


class WeightsUpdateBatcher:
    """Broadcasts updates about the weights of runners in batches."""

    def __init__(self, loop: Loop, peers: Peers) -> None:
        self._loop = loop
        self._peers = peers
        self._pending: dict[tuple[str, int, bool], list[str]] = {}

    def add(self, instance: str, model: str, version: int, is_loaded: bool) -> None:
        """Add an update: a runner is loading a version, or has loaded it."""
        if not self._pending:
            self._loop.call_later(BATCH_WINDOW_S, self._broadcast_batch)
        self._pending.setdefault((model, version, is_loaded), []).append(instance)

    def _broadcast_batch(self) -> None:
        batch, self._pending = self._pending, {}
        for (model, version, is_loaded), instances in batch.items():
            self._peers.broadcast(WeightsUpdate(instances, model, version, is_loaded))


def apply_weights_update(world: RequestServices, update: WeightsUpdate) -> None:
    """Apply an update about runners that are loading weights or have loaded them."""
    for instance in update.instances:
        state = world.pool.state(instance)
        if state is not None:
            _apply_to_runner(state, update, world.loop.now())


def _apply_to_runner(state: RunnerState, update: WeightsUpdate, now: float) -> None:
    if update.is_loaded:
        state.record_weights(update.model, update.version)
        state.loading_until = 0.0
    elif update.version > (state.weights_version(update.model) or 0):
        state.loading_until = now + LOADING_TIMEOUT_S
