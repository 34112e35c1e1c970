"""Tests that streams keep their software version while routers miss that another one has joined.

Runs real routers, some of which are cut off from the store and from the other routers while
callers and runners still reach them.  Runners of a new version join within the cut; streams that
began at routers in touch are resumed mostly at those that are cut off.
"""

import pytest

from martenrun.proof.stream_checker import (
    compare_shares,
    events_are_consecutive,
    streams_keep_their_software,
)

from .resumption_plays import Trouble, go_on, play, resumed_and_begun, stop


def assert_promises(played):
    print(played.summary())
    assert streams_keep_their_software(played.streams) == []
    assert events_are_consecutive(played.streams) == []
    assert compare_shares(*resumed_and_begun(played.in_touch)) == []


def stop_and_cut(deployment, partition):
    stop(deployment, partition)
    partition.cut()


def slow_down(_deployment, partition):
    partition.slow_down(0.5)


# Guards against streams joined from two versions by routers that have not heard of the newer one.
@pytest.mark.parametrize(
    "trouble",
    [
        pytest.param(Trouble(2.5, 0.4, 1.0, 6, 2), id="two of six, 2.5 s"),
        pytest.param(Trouble(2.0, 0.1, 0.9, 6, 1), id="one of six, 2 s"),
        pytest.param(Trouble(3.0, 0.4, 1.5, 6, 3), id="three of six, 3 s"),
    ],
)
def test_streams_keep_their_software_while_routers_miss_a_new_version(trouble):
    played = play(trouble)
    assert len(played.troubled) > 12
    assert_promises(played)


# Guards against the same by a version that has left again, by routers that are suspended beside,
# just after a cut, and at routers whose news is late.
@pytest.mark.parametrize(
    "trouble",
    [
        pytest.param(
            Trouble(3.0, 0.4, 2.0, 6, 2, left_after_s=1.8, resumed_after_s=1.0), id="left"
        ),
        pytest.param(Trouble(1.0, 0.1, 0.5, 6, 2, resumed_after_s=0.5), id="after the cut"),
        pytest.param(
            Trouble(3.0, 0.4, 1.0, 6, 2, begin=stop, end=go_on, resumed_after_s=0.6),
            id="suspended",
        ),
        pytest.param(
            Trouble(3.0, 0.4, 1.0, 6, 2, begin=stop_and_cut, end=go_on, resumed_after_s=1.0),
            id="suspended and cut off",
        ),
        pytest.param(Trouble(3.0, 0.4, 1.5, 6, 2, begin=slow_down, resumed_after_s=0.5), id="slow"),
    ],
)
def test_streams_keep_their_software_over_other_troubles(trouble):
    assert_promises(play(trouble))
