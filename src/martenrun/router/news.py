"""Handles news from other routers and selects the news sent to newly discovered ones."""

from collections.abc import Sequence

from martenrun.router.blame_messages import BlameNews
from martenrun.router.limit_messages import LimitUpdate
from martenrun.router.peer_messages import LeaseNews, SilenceNews
from martenrun.router.peers import News
from martenrun.router.request_services import RequestServices
from martenrun.router.unresponsive_runners import record_unresponsive
from martenrun.router.weights_rollout import WeightsRollout
from martenrun.router.weights_updates import apply_weights_update


def take_news(world: RequestServices, roller: WeightsRollout, news: News) -> None:
    """Dispatch news from another router to the component that handles it."""
    now = world.loop.now()
    if isinstance(news, LeaseNews):
        roller.handle_lease_release(news)
    elif isinstance(news, SilenceNews):
        record_unresponsive(world, news, now)
    elif isinstance(news, BlameNews):
        world.suspects.take(news)
    elif isinstance(news, LimitUpdate):
        world.runner_limits.merge(news, now)
    else:
        apply_weights_update(world, news)


def newcomer_news(world: RequestServices, routers: int) -> Sequence[News]:
    """Return the news for a newly discovered router.

    Args:
        routers: the number of known routers.
    """
    blame = world.suspects.newcomer_news(routers)
    limits = world.runner_limits.new_router_update(world.loop.now())
    return [news for news in (blame, limits) if news is not None]
