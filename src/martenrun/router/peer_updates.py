"""Dispatches updates from other routers and selects those sent to newly discovered routers."""

from collections.abc import Sequence

from martenrun.router.blame_messages import BlameNews
from martenrun.router.limit_messages import LimitNews
from martenrun.router.peer_messages import LeaseUpdate, UnresponsiveRunnerUpdate
from martenrun.router.peers import Update
from martenrun.router.silence import take_silence
from martenrun.router.weights_news import take_weights_news
from martenrun.router.weights_roll import WeightsRoller
from martenrun.router.world import World


def dispatch_update(world: World, roller: WeightsRoller, update: Update) -> None:
    """Pass an update from another router to the component that handles it."""
    now = world.loop.now()
    if isinstance(update, LeaseUpdate):
        roller.take_release(update)
    elif isinstance(update, UnresponsiveRunnerUpdate):
        take_silence(world, update, now)
    elif isinstance(update, BlameNews):
        world.suspects.take(update)
    elif isinstance(update, LimitNews):
        world.runner_limits.take(update, now)
    else:
        take_weights_news(world, update)


def updates_for_new_router(world: World, routers: int) -> Sequence[Update]:
    """Return the updates for a newly discovered router.

    Args:
        routers: the number of known routers.
    """
    blame = world.suspects.newcomer_news(routers)
    limits = world.runner_limits.newcomer_news(world.loop.now())
    return [update for update in (blame, limits) if update is not None]
