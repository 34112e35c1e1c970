"""Dispatches updates from other routers and selects those sent to newly discovered routers."""

from collections.abc import Sequence

from martenrun.router.brittle_messages import BrittleUpdate
from martenrun.router.crashes.messages import CrashUpdate
from martenrun.router.drain_messages import DrainUpdate
from martenrun.router.limit_messages import LimitUpdate
from martenrun.router.peer_messages import LeaseUpdate, UnresponsiveRunnerUpdate
from martenrun.router.peers import Update
from martenrun.router.request_services import RequestServices
from martenrun.router.runner_responses import drains_for_new_router, record_drain
from martenrun.router.unresponsive_runners import record_unresponsive
from martenrun.router.weights_rollout import WeightsRollout
from martenrun.router.weights_updates import apply_weights_update


def dispatch_update(world: RequestServices, roller: WeightsRollout, update: Update) -> None:
    """Pass an update from another router to the component that handles it."""
    now = world.loop.now()
    if isinstance(update, LeaseUpdate):
        roller.handle_lease_release(update)
    elif isinstance(update, UnresponsiveRunnerUpdate):
        record_unresponsive(world, update, now)
    elif isinstance(update, CrashUpdate):
        world.suspects.handle_update(update)
    elif isinstance(update, LimitUpdate):
        world.runner_limits.merge(update, now)
    elif isinstance(update, BrittleUpdate):
        world.brittle.merge(update, now)
    elif isinstance(update, DrainUpdate):
        for instance in update.instances:
            record_drain(world, instance, "router")
    else:
        apply_weights_update(world, update)


def updates_for_new_router(world: RequestServices, routers: int) -> Sequence[Update]:
    """Return the updates for a newly discovered router.

    Args:
        routers: the number of known routers.
    """
    blame = world.suspects.update_for_joining_router(routers)
    limits = world.runner_limits.new_router_update(world.loop.now())
    brittle = world.brittle.new_router_update(world.loop.now())
    drains = drains_for_new_router(world)
    return [update for update in (blame, limits, brittle, drains) if update is not None]
