"""The cluster's key is changed in three passes while every process talks to every other."""

import contextlib
import itertools
import queue

import pytest
from deployment import free_address, wait_until

from martenrun.settings.load import read_settings
from martenrun.settings.model import NodeSettings
from martenrun.wire.keys import cluster_keys
from martenrun.wire.messages import Queued
from martenrun.wire.transport import PeerTransport

OLD, NEW = "old-secret-0123456", "new-secret-0123456"
PASSES = [(OLD, []), (OLD, [NEW]), (NEW, [OLD]), (NEW, [])]
MESSAGE = Queued("r", 1, 0.5)


@contextlib.contextmanager
def node(secret, others):
    address, received = free_address(), queue.Queue()
    keys = cluster_keys(secret, others)
    running = PeerTransport(address, keys, lambda peer, message: received.put((peer, message)))
    running.listen(address)
    running.start()
    try:
        yield running, received, keys
    finally:
        running.stop()


def reaches(sender, receiver, by):
    """Send once, or again while a handshake is under way, until it arrives."""
    transport, received = receiver[0], receiver[1]

    def arrived():
        getattr(sender[0], by)(transport.name, MESSAGE)
        with contextlib.suppress(queue.Empty):
            return received.get(timeout=0.2) == (sender[0].name, MESSAGE)
        return False

    wait_until(arrived, f"{by} to {transport.name}", 10)


@pytest.mark.parametrize("by", ["send", "send_datagram"])
@pytest.mark.parametrize(("before", "after"), list(itertools.pairwise(PASSES)))
def test_processes_of_two_neighbouring_passes_reach_each_other(before, after, by):
    with node(*before) as one, node(*after) as other:
        reaches(one, other, by)
        reaches(other, one, by)
        # A connection is used both ways, so its acceptor alone counts the connector's key.
        uses = one[2].uses.other_key + other[2].uses.other_key
        assert (uses > 0) == (before[0] != after[0])


@pytest.mark.parametrize("by", ["send", "send_datagram"])
def test_a_key_that_is_no_longer_accepted_reaches_nobody(by):
    with node(NEW, []) as present, node(OLD, [NEW]) as late, node(NEW, []) as witness:
        for _ in range(3):
            getattr(late[0], by)(present[0].name, MESSAGE)
        reaches(witness, present, by)
        assert present[1].empty() and present[2].uses.other_key == 0


def test_an_accepted_secret_that_is_too_short_is_a_fault_with_a_remedy():
    given = {"accepted_secrets": ["short"], "cluster_secret": OLD}
    with pytest.raises(ExceptionGroup) as faults:
        read_settings(NodeSettings, None, given)
    messages = [f"{fault.message} {fault.remedy}" for fault in faults.value.exceptions]
    assert any("accepted_secrets: " in text and "correct it" in text for text in messages)
