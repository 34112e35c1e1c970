"""Broadcasts which weights runners are loading or have loaded."""

from martenrun.net.loop import Loop
from martenrun.router.peer_messages import WeightsNews
from martenrun.router.peers import Peers
from martenrun.router.runner_state import LOADING_MEMORY_S, RunnerState
from martenrun.router.world import World

TOLD_TOGETHER_S = 0.02
"""Time for which updates about runners are batched before they are broadcast, in seconds.

If 59 runners start to load at once, separate updates to 195 routers are 11,500 datagrams.  On a
10 Mbit/s link they delay the runners' reports, so that loads are postponed for lack of a report,
started again and broadcast again.
"""


class WeightsTeller:
    """Broadcasts updates about the weights of runners in batches."""

    def __init__(self, loop: Loop, peers: Peers) -> None:
        self._loop = loop
        self._peers = peers
        self._to_tell: dict[tuple[str, int, bool], list[str]] = {}

    def tell(self, instance: str, model: str, version: int, is_loaded: bool) -> None:
        """Add an update: a runner is loading a version, or has loaded it."""
        if not self._to_tell:
            self._loop.call_later(TOLD_TOGETHER_S, self._tell_together)
        self._to_tell.setdefault((model, version, is_loaded), []).append(instance)

    def _tell_together(self) -> None:
        together, self._to_tell = self._to_tell, {}
        for (model, version, is_loaded), instances in together.items():
            self._peers.tell_all(WeightsNews(instances, model, version, is_loaded))


def take_weights_news(world: World, news: WeightsNews) -> None:
    """Apply an update about runners that are loading weights or have loaded them."""
    for instance in news.instances:
        state = world.pool.state(instance)
        if state is not None:
            _take_of_runner(state, news, world.loop.now())


def _take_of_runner(state: RunnerState, news: WeightsNews, now: float) -> None:
    if news.is_loaded:
        state.learn_weights(news.model, news.version)
        state.loading_until = 0.0
    elif news.version > (state.weights_version(news.model) or 0):
        state.loading_until = now + LOADING_MEMORY_S
