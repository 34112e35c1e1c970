"""Tests that streams keep their software version while routers miss that another one has joined.

Runs real routers, some of which are cut off from the store and from the other routers while
callers and runners still reach them.  Runners of a new version join within the cut; streams that
began at routers in touch are resumed mostly at those that are cut off.
"""

import time

import attrs
import pytest
from platform_deployment import LINKED_ROUTER, PlatformDeployment
from resuming_callers import ResumingCallers
from router_partition import RouterPartition

from martenrun.platform.standins.runner import RunnerStandin
from martenrun.proof.stream_checker import (
    compare_shares,
    events_are_consecutive,
    streams_keep_their_software,
    success_share,
)

OLD, NEW = "v1.1", "v1.2"
OLD_RUNNERS, NEW_RUNNERS = 6, 2
CALLERS = 32
EVENTS = 12
EVENT_PAUSE_S = 0.025
BEFORE_S = 2.5
AFTER_S = 2.0
CUT_SHARE = 0.8
"""Share of resumptions at routers that are cut off, while callers prefer these."""


@attrs.frozen
class Cut:
    """A cut within which runners of a new version join; times in seconds.

    Attributes:
        length_s: how long it lasts.
        joined_after_s: when the runners join, after its begin.
        resumed_within_s: how long before its end callers begin to resume at separated routers.
        routers: number of all routers.
        separated: number of those that are cut off.
    """

    length_s: float
    joined_after_s: float
    resumed_within_s: float
    routers: int
    separated: int


class PartitionCallers(ResumingCallers):
    """Callers that begin streams at routers in touch and, for a while, leave and resume them.

    Attributes:
        prefers_separated: whether they leave all streams and resume most at separated routers.
    """

    def __init__(self, deployment, partition):
        super().__init__(deployment, CALLERS, failure_pause_s=0.05)
        self._partition = partition
        self._in_touch = [router.front for router in partition.others]
        self._separated = [router.front for router in partition.routers]
        self.prefers_separated = False

    def choose_router(self, rng, is_resumption):
        if is_resumption and self.prefers_separated and rng.random() < CUT_SHARE:
            return rng.choice(self._separated)
        return rng.choice(self._in_touch)

    def prompt_parts(self, stream_id):
        # Prompts that share parts would keep to runners that have them, so to the old version.
        return f"{stream_id}:1000"

    def break_share(self):
        return 1.0 if self.prefers_separated else super().break_share()


def join(deployment, software, count=NEW_RUNNERS):
    """List runners of another version."""
    for _ in range(count):
        runner = RunnerStandin("llm", deployment.runners[0].model)
        runner.software, runner.events, runner.event_pause_s = software, EVENTS, EVENT_PAUSE_S
        deployment.runners.append(runner)
        deployment.list_runner(runner)


def wait_until(deployment, at):
    deployment.wait(lambda: time.monotonic() >= at, limit_s=at - time.monotonic() + 5.0)


def play(cut):
    """Play a cut; return all streams, and the attempts at routers in touch while it lasted."""
    deployment = PlatformDeployment(
        cut.routers, OLD_RUNNERS, 0, program=LINKED_ROUTER, has_links=True
    )
    for runner in deployment.runners:
        runner.software, runner.events, runner.event_pause_s = OLD, EVENTS, EVENT_PAUSE_S
    partition = RouterPartition(deployment, deployment.routers[: cut.separated])
    with deployment:
        callers = PartitionCallers(deployment, partition)
        callers.start()
        began_at = time.monotonic() + BEFORE_S
        ends_at = began_at + cut.length_s
        wait_until(deployment, began_at)
        partition.cut()
        wait_until(deployment, began_at + cut.joined_after_s)
        join(deployment, NEW)
        wait_until(deployment, ends_at - cut.resumed_within_s)
        callers.prefers_separated = True
        wait_until(deployment, ends_at)
        partition.restore()
        callers.prefers_separated = False
        wait_until(deployment, ends_at + AFTER_S)
        callers.stop()
    tries = [item for stream in callers.streams for item in stream.tries]
    during = [item for item in tries if began_at <= item.sent_at < ends_at]
    separated = {router.front for router in partition.routers}
    return (
        callers.streams,
        [item for item in during if item.router not in separated],
        [item for item in during if item.router in separated],
    )


def resumed_and_begun(tries):
    """Return the attempts that resume streams, and those that begin one."""
    resumed = [item for item in tries if item.is_resumption]
    return resumed, [item for item in tries if not item.is_resumption]


def summary(streams, in_touch, separated):
    mixed = sum(len(stream.software()) > 1 for stream in streams)
    resumed, begun = resumed_and_begun(in_touch)
    return (
        f"{mixed} of {len(streams)} streams mixed; while cut, in touch "
        f"{success_share(resumed):.2f} of {len(resumed)} resumptions go on and "
        f"{success_share(begun):.2f} of {len(begun)} begin, at separated routers "
        f"{success_share(separated):.2f} of {len(separated)} resumptions go on"
    )


# Guards against streams joined from two versions by routers that have not heard of the newer one.
@pytest.mark.parametrize(
    "cut",
    [
        pytest.param(Cut(2.5, 0.4, 1.0, 6, 2), id="two of six, 2.5 s"),
        pytest.param(Cut(2.0, 0.1, 0.9, 6, 1), id="one of six, 2 s"),
        pytest.param(Cut(3.0, 0.4, 1.5, 6, 3), id="three of six, 3 s"),
    ],
)
def test_streams_keep_their_software_while_routers_miss_a_new_version(cut):
    streams, in_touch, separated = play(cut)
    print(summary(streams, in_touch, separated))
    assert len(separated) > 12
    assert streams_keep_their_software(streams) == []
    assert events_are_consecutive(streams) == []
    assert compare_shares(*resumed_and_begun(in_touch)) == []
