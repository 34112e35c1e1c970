"""Handles news from other routers and selects the news sent to newly discovered ones."""

from collections.abc import Sequence

from martenrun.router.crash_messages import CrashUpdate
from martenrun.router.limit_messages import LimitNews
from martenrun.router.peer_messages import LeaseNews, SilenceNews
from martenrun.router.peers import News
from martenrun.router.silence import take_silence
from martenrun.router.weights_news import take_weights_news
from martenrun.router.weights_roll import WeightsRoller
from martenrun.router.world import World


def take_news(world: World, roller: WeightsRoller, news: News) -> None:
    """Dispatch news from another router to the component that handles it."""
    now = world.loop.now()
    if isinstance(news, LeaseNews):
        roller.take_release(news)
    elif isinstance(news, SilenceNews):
        take_silence(world, news, now)
    elif isinstance(news, CrashUpdate):
        world.suspects.handle_update(news)
    elif isinstance(news, LimitNews):
        world.runner_limits.take(news, now)
    else:
        take_weights_news(world, news)


def newcomer_news(world: World, routers: int) -> Sequence[News]:
    """Return the news for a newly discovered router.

    Args:
        routers: the number of known routers.
    """
    blame = world.suspects.update_for_joining_router(routers)
    limits = world.runner_limits.newcomer_news(world.loop.now())
    return [news for news in (blame, limits) if news is not None]
