"""Plays in which callers resume streams while some routers are out of touch with the others."""

import signal
import time
from collections.abc import Callable

import attrs
from platform_deployment import LINKED_ROUTER, PlatformDeployment
from resuming_callers import ResumingCallers
from router_partition import RouterPartition

from martenrun.platform.standins.runner import RunnerStandin
from martenrun.proof.stream_checker import success_share

OLD, NEW = "v1.1", "v1.2"
OLD_RUNNERS, NEW_RUNNERS = 6, 2
CALLERS = 32
EVENTS = 12
EVENT_PAUSE_S = 0.025
BEFORE_S = 2.5
AFTER_S = 2.0
MAIN_SHARE = 0.8
"""Share of resumptions at the routers that callers are to prefer."""


@attrs.frozen
class Trouble:
    """Trouble of some routers, within which runners of a new version join; times in seconds.

    Attributes:
        length_s: how long it lasts.
        joined_after_s: when the runners join, after its begin; negative if they join before it.
        resumed_within_s: how long before its end callers begin to leave and resume all streams.
        routers: number of all routers.
        troubled: number of those in trouble.
        left_after_s: when the joined runners leave again, after its begin.
        resumed_after_s: how long after its end callers go on to leave and resume all streams.
        begins_troubled: whether streams begin at routers in trouble and are resumed at the others.
        resumes_troubled: whether streams are resumed at routers in trouble, mostly.
        begin: makes the trouble; by default a cut of all ways.
        end: ends it.
        acts: further actions, as (time after the begin, action).
    """

    length_s: float
    joined_after_s: float
    resumed_within_s: float
    routers: int
    troubled: int
    left_after_s: float | None = None
    resumed_after_s: float = 0.0
    begins_troubled: bool = False
    resumes_troubled: bool = True
    begin: Callable[[PlatformDeployment, RouterPartition], None] = lambda _all, it: it.cut()
    end: Callable[[PlatformDeployment, RouterPartition], None] = lambda _all, it: it.restore()
    acts: tuple[tuple[float, Callable[[PlatformDeployment, RouterPartition], None]], ...] = ()


class TroubleCallers(ResumingCallers):
    """Callers that for a while leave all streams and resume them at chosen routers.

    Attributes:
        leaves_all: whether they do so now; else streams begin and go on at routers in touch.
    """

    def __init__(self, deployment, partition, trouble):
        super().__init__(deployment, CALLERS, failure_pause_s=0.05)
        self._trouble = trouble
        self._in_touch = [router.front for router in partition.others]
        self._troubled = [router.front for router in partition.routers]
        self.leaves_all = False

    def choose_router(self, rng, is_resumption):
        if not self.leaves_all:
            return rng.choice(self._in_touch)
        if is_resumption:
            is_troubled = self._trouble.resumes_troubled and rng.random() < MAIN_SHARE
        else:
            is_troubled = self._trouble.begins_troubled
        return rng.choice(self._troubled if is_troubled else self._in_touch)

    def break_share(self):
        return 1.0 if self.leaves_all else super().break_share()

    def prompt_parts(self, stream_id):
        # Prompts that share parts would keep to runners that have them, so to the old version.
        return f"{stream_id}:1000"


@attrs.frozen
class Played:
    """What callers saw, and the attempts during the trouble by where they were sent."""

    streams: list
    in_touch: list
    troubled: list
    after: list

    def mixed(self):
        """Return the number of streams that hold events of two versions."""
        return sum(len(stream.software()) > 1 for stream in self.streams)

    def summary(self):
        """Return the figures as text."""
        mixed = f"{self.mixed()} of {len(self.streams)} streams mixed"
        places = {"in touch": self.in_touch, "in trouble": self.troubled, "after": self.after}
        return "; ".join([mixed, *(shares(place, tries) for place, tries in places.items())])


def resumed_and_begun(tries):
    """Return the attempts that resume streams, and those that begin one."""
    resumed = [item for item in tries if item.is_resumption]
    return resumed, [item for item in tries if not item.is_resumption]


def shares(place, tries):
    resumed, begun = resumed_and_begun(tries)
    return (
        f"{place} {success_share(resumed):.2f} of {len(resumed)} resumptions go on, "
        f"{success_share(begun):.2f} of {len(begun)} begin"
    )


def stop(deployment, partition):
    """Suspend the routers in trouble."""
    for router in partition.routers:
        deployment.stop(router, signal.SIGSTOP)


def go_on(deployment, partition):
    """Let suspended routers go on."""
    for router in partition.routers:
        deployment.stop(router, signal.SIGCONT)


def restart(deployment, partition):
    """Kill the routers in trouble and start them again."""
    kill(deployment, partition)
    for router in partition.routers:
        deployment.start(router)


def kill(deployment, partition):
    """Kill the routers in trouble."""
    for router in partition.routers:
        deployment.stop(router, signal.SIGKILL)
        router.process.wait()


def _join(deployment):
    for _ in range(NEW_RUNNERS):
        runner = RunnerStandin("llm", deployment.runners[0].model)
        runner.software, runner.events, runner.event_pause_s = NEW, EVENTS, EVENT_PAUSE_S
        deployment.runners.append(runner)
        deployment.list_runner(runner)


def _leave(deployment):
    for runner in deployment.runners:
        if runner.software == NEW:
            deployment.store.remove("servers", runner.instance)
            runner.cut_streams()


def play(trouble):
    """Play callers before, in and after a trouble; return what they saw."""
    deployment = PlatformDeployment(
        trouble.routers, OLD_RUNNERS, 0, program=LINKED_ROUTER, has_links=True
    )
    for runner in deployment.runners:
        runner.software, runner.events, runner.event_pause_s = OLD, EVENTS, EVENT_PAUSE_S
    partition = RouterPartition(deployment, deployment.routers[: trouble.troubled])
    with deployment:
        callers = TroubleCallers(deployment, partition, trouble)
        acts = [
            (0.0, lambda: trouble.begin(deployment, partition)),
            (trouble.joined_after_s, lambda: _join(deployment)),
            (
                trouble.length_s - trouble.resumed_within_s,
                lambda: setattr(callers, "leaves_all", True),
            ),
            (trouble.length_s, lambda: trouble.end(deployment, partition)),
            (
                trouble.length_s + trouble.resumed_after_s,
                lambda: setattr(callers, "leaves_all", False),
            ),
            *((at, lambda act=act: act(deployment, partition)) for at, act in trouble.acts),
        ]
        if trouble.left_after_s is not None:
            acts.append((trouble.left_after_s, lambda: _leave(deployment)))
        callers.start()
        began_at = time.monotonic() + BEFORE_S
        ends_at = began_at + trouble.length_s
        for at_s, act in sorted(acts, key=lambda item: item[0]):
            _wait_until(deployment, began_at + at_s)
            act()
        _wait_until(deployment, ends_at + trouble.resumed_after_s + AFTER_S)
        callers.stop()
    return _played(callers.streams, partition, began_at, ends_at)


def _wait_until(deployment, at):
    deployment.wait(lambda: time.monotonic() >= at, limit_s=at - time.monotonic() + 5.0)


def _played(streams, partition, began_at, ends_at):
    tries = [item for stream in streams for item in stream.tries]
    during = [item for item in tries if began_at <= item.sent_at < ends_at]
    troubled = {router.front for router in partition.routers}
    return Played(
        streams,
        [item for item in during if item.router not in troubled],
        [item for item in during if item.router in troubled],
        [item for item in tries if item.sent_at >= ends_at],
    )
