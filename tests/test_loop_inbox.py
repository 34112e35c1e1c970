"""A loop serves its sockets itself, and keeps the order of its events."""

import queue
import threading

from deployment import free_address, wait_until

from martenrun.events import LeaveRequested, MembersChanged, PeerMessage, Send, Tell, Tick
from martenrun.loop_inbox import LoopInbox
from martenrun.process import LoopActor
from martenrun.wire.keys import ClusterKeys
from martenrun.wire.messages import Queued
from martenrun.wire.transport import PeerTransport

KEYS = ClusterKeys(b"0123456789abcdef")


class FakeTransport:
    """Hands over one list of messages a poll, and waits for a wake where there is none."""

    def __init__(self, inbox, batches=()):
        self.inbox = inbox
        self.batches = list(batches)
        self.timeouts = []
        self.woken = threading.Event()
        inbox.attach(self)

    def poll(self, timeout_s):
        self.timeouts.append(timeout_s)
        if self.batches:
            for peer, message in self.batches.pop(0):
                self.inbox.receive(peer, message)
        elif timeout_s:
            self.woken.wait(timeout_s)
            self.woken.clear()

    def wake(self):
        self.woken.set()


class Part:
    """Notes events, and tells itself two more at each of its messages."""

    def __init__(self):
        self.seen = []

    def handle(self, event, now):
        self.seen.append(event)
        if isinstance(event, PeerMessage):
            return [Tell(LeaveRequested()), Tell(MembersChanged((event.message.request_id,)))]
        return []

    def without_ticks(self):
        return [event for event in self.seen if not isinstance(event, Tick)]


class Echo:
    """Sends each message back."""

    def handle(self, event, now):
        return [Send(event.peer, event.message)]


def message(number):
    return "peer", Queued(str(number), 1, 0.5)


def test_a_batch_is_handled_in_order_and_what_the_loop_tells_itself_before_the_next_poll():
    inbox, part = LoopInbox(), Part()
    FakeTransport(inbox, [[message(1), message(2)], [message(3)]])
    loop = LoopActor.start([part], {}, inbox)
    inbox.start()
    try:
        wait_until(lambda: len(part.without_ticks()) == 9, "all events", 10)
    finally:
        loop.stop()
    kinds = [
        event.message.request_id if isinstance(event, PeerMessage) else type(event).__name__
        for event in part.without_ticks()
    ]
    told = ["LeaveRequested", "MembersChanged"]
    assert kinds == ["1", "2", *told, *told, "3", *told]
    names = [event.members[0] for event in part.seen if isinstance(event, MembersChanged)]
    assert names == ["1", "2", "3"]


def test_an_event_from_another_thread_ends_the_wait_and_a_stop_comes_after_it():
    inbox, part = LoopInbox(), Part()
    transport = FakeTransport(inbox)
    loop = LoopActor.start([part], {}, inbox)
    loop.tell(MembersChanged(("early",)))
    assert transport.timeouts == [], "the loop waits until it is started"
    inbox.start()
    for number in range(200):
        loop.tell(MembersChanged((number,)))
    loop.stop()
    assert [event.members[0] for event in part.without_ticks()] == ["early", *range(200)]
    assert inbox.empty()


def test_an_idle_loop_ticks_by_itself():
    inbox, part = LoopInbox(), Part()
    transport = FakeTransport(inbox)
    loop = LoopActor.start([part], {}, inbox)
    inbox.start()
    try:
        wait_until(lambda: part.seen.count(Tick()) >= 3, "three ticks", 10)
    finally:
        loop.stop()
    assert max(transport.timeouts) <= 0.05


def test_a_loop_carries_messages_over_real_sockets():
    address, inbox, part = free_address(), LoopInbox(), Part()
    transport = PeerTransport(address, KEYS, inbox.receive)
    inbox.attach(transport)
    transport.listen(address)
    loop = LoopActor.start([part], {}, inbox)
    inbox.start()
    client = PeerTransport("agent/one", KEYS, lambda *_: None)
    client.start()
    try:
        for number in range(50):
            client.send(address, message(number)[1])
        wait_until(lambda: len(part.without_ticks()) == 150, "all messages", 10)
    finally:
        client.stop()
        loop.stop()
        transport.close()
    numbers = [event.message.request_id for event in part.seen if isinstance(event, PeerMessage)]
    assert numbers == [str(number) for number in range(50)]


def test_answers_of_the_serving_thread_to_one_peer_share_a_write(monkeypatch):
    address, answers, writes = free_address(), queue.Queue(), []
    server = PeerTransport(
        address, KEYS, lambda peer, _: [server.send(peer, message(n)[1]) for n in range(10)]
    )
    written = server._write
    monkeypatch.setattr(server, "_write", lambda each: (writes.append(each), written(each)))
    server.listen(address)
    server.start()
    client = PeerTransport("agent/one", KEYS, lambda _, answer: answers.put(answer.request_id))
    client.start()
    try:
        client.send(address, message(0)[1])
        assert [answers.get(timeout=10) for _ in range(10)] == [str(n) for n in range(10)]
    finally:
        client.stop()
        server.stop()
    # The handshake's own write, and one for the ten answers.
    assert len(writes) <= 3


def test_an_instruction_that_cannot_be_carried_out_does_not_end_the_loop():
    carried = []

    def carry(instruction):
        carried.append(instruction.message.request_id)
        if len(carried) == 1:
            raise ValueError("a number is too large for the wire")

    loop = LoopActor.start([Echo()], {Send: carry})
    try:
        for number in range(3):
            loop.tell(PeerMessage(*message(number)))
        wait_until(lambda: len(carried) == 3, "the later instructions", 10)
    finally:
        loop.stop()
    assert carried == ["0", "1", "2"]
