"""News of the weights that runners load or have, told to all routers at once."""

from martenrun.net.loop import Loop
from martenrun.router.peer_messages import WeightsUpdate
from martenrun.router.peers import Peers
from martenrun.router.runner_state import LOADING_MEMORY_S, RunnerState
from martenrun.router.world import World

TOLD_TOGETHER_S = 0.02
"""For how long news of runners are put together, in seconds.

59 runners that load at once, told one by one to 195 routers, are 11,500 datagrams in a moment: at
10 Mbit/s they hold the reports up, loads are put off for want of them and begun, and told, again.
"""


class WeightsTeller:
    """Tells news of runners, those of a moment together."""

    def __init__(self, loop: Loop, peers: Peers) -> None:
        self._loop = loop
        self._peers = peers
        self._to_tell: dict[tuple[str, int, bool], list[str]] = {}

    def tell(self, instance: str, model: str, version: int, is_loaded: bool) -> None:
        """Tell that a runner begins to load a version, or has it now."""
        if not self._to_tell:
            self._loop.call_later(TOLD_TOGETHER_S, self._tell_together)
        self._to_tell.setdefault((model, version, is_loaded), []).append(instance)

    def _tell_together(self) -> None:
        together, self._to_tell = self._to_tell, {}
        for (model, version, is_loaded), instances in together.items():
            self._peers.broadcast(WeightsUpdate(instances, model, version, is_loaded))


def take_weights_news(world: World, news: WeightsUpdate) -> None:
    """Take in that runners load weights or have them now."""
    for instance in news.instances:
        state = world.pool.state(instance)
        if state is not None:
            _take_of_runner(state, news, world.loop.now())


def _take_of_runner(state: RunnerState, news: WeightsUpdate, now: float) -> None:
    if news.is_loaded:
        state.learn_weights(news.model, news.version)
        state.loading_until = 0.0
    elif news.version > (state.weights_version(news.model) or 0):
        state.loading_until = now + LOADING_MEMORY_S
