"""A simulated network between named peers: delays, losses, duplicates, cuts."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from martenrun.simulation.places import Places
from martenrun.simulation.scheduler import Scheduler
from martenrun.wire.codec import decode, encode
from martenrun.wire.frames import TAG_BYTES, checked_datagram, frame_bytes
from martenrun.wire.messages import Message


@dataclass
class LinkFaults:
    """Probabilities and times that hold for every message.

    Attributes:
        delay_s: shortest one-way time.
        jitter_s: largest added time, drawn evenly; lets messages overtake each other.
        loss: probability that a message is lost.
        duplicate: probability that a message arrives twice.
        noticed: probability that a peer is told of the end of a connection.  A process that
            dies closes its connections; a machine that vanishes closes none.
    """

    delay_s: float = 0.001
    jitter_s: float = 0.001
    loss: float = 0.0
    duplicate: float = 0.0
    noticed: float = 0.5


@dataclass
class PeerTraffic:
    """Messages and encoded bytes that a peer has sent and received."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0


Deliver = Callable[[str, Message], None]
Disconnected = Callable[[str], None]


class SimulatedNetwork:
    """Delivers encoded messages between peers in virtual time.

    Messages are really encoded and decoded, so their size and cost are those of real ones
    and no object is shared between peers.

    Args:
        places: where peers stand; all are near each other if not given.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        rng: random.Random,
        faults: LinkFaults,
        places: Places | None = None,
    ) -> None:
        self.faults = faults
        self.traffic: dict[str, PeerTraffic] = {}
        self._places = places or Places()
        self._scheduler = scheduler
        self._rng = rng
        self._peers: dict[str, Deliver] = {}
        self._disconnected: dict[str, Disconnected] = {}
        self._connected: dict[str, dict[str, None]] = {}
        self._groups: dict[str, int] = {}

    def attach(
        self, name: str, deliver: Deliver, disconnected: Disconnected = lambda _: None
    ) -> None:
        """Connect a peer; attaching again replaces it, as after a restart.

        Args:
            disconnected: called with a peer whose connection has ended.
        """
        self._peers[name] = deliver
        self._disconnected[name] = disconnected
        self.traffic.setdefault(name, PeerTraffic())

    def detach(self, name: str) -> None:
        """Disconnect a peer; messages on their way to it are lost, others may be told."""
        self._peers.pop(name, None)
        for other in self._connected.pop(name, {}):
            self._connected.get(other, {}).pop(name, None)
            self._may_tell_end(other, name)

    def cut(self, groups: list[list[str]]) -> None:
        """Let only peers of the same group reach each other; unnamed peers form one group."""
        self._groups = {name: i for i, names in enumerate(groups, start=1) for name in names}

    def heal(self) -> None:
        """Remove the cut."""
        self._groups = {}

    def send(self, sender: str, receiver: str, message: Message) -> None:
        """Send a message; it may arrive late, twice or never."""
        if receiver in self._peers:
            self._connected.setdefault(sender, {})[receiver] = None
            self._connected.setdefault(receiver, {})[sender] = None
        else:
            self._may_tell_end(sender, receiver)
        data = encode(message)
        self._count(sender, message, len(data), frame_bytes(len(data)))
        self._send(sender, receiver, data, is_datagram=False)

    def send_datagram(self, sender: str, receiver: str, message: Message) -> None:
        """Send a message in one datagram; the same faults as for :meth:`send`.

        Raises:
            FrameError: it does not fit one datagram.
        """
        data = encode(message)
        overhead_bytes = TAG_BYTES + 1 + len(sender)
        checked_datagram(data, overhead_bytes)
        self._count(sender, message, len(data) + overhead_bytes, 0)
        self._send(sender, receiver, data)

    def _count(self, sender: str, message: Message, size: int, frame_bytes: int) -> None:
        """Count a sent message; ``frame_bytes`` more would pass a TCP connection."""
        self.traffic[sender].sent_messages += 1
        self.traffic[sender].sent_bytes += size

    def _send(self, sender: str, receiver: str, data: bytes, is_datagram: bool = True) -> None:
        copies = 2 if self._rng.random() < self.faults.duplicate else 1
        for _ in range(copies):
            if self._rng.random() < self.faults.loss:
                if not is_datagram:
                    # A stream loses a message only together with its connection.
                    self._may_tell_end(sender, receiver)
                    self._may_tell_end(receiver, sender)
                continue
            delay_s = self.faults.delay_s + self._rng.random() * self.faults.jitter_s
            delay_s += self._places.delay_s(sender, receiver)
            self._scheduler.after(delay_s, lambda: self._arrive(sender, receiver, data))

    def _may_tell_end(self, told: str, peer: str) -> None:
        """Tell a peer that its connection to another has ended, after what was sent over it."""
        if self._rng.random() >= self.faults.noticed:
            return
        delay_s = self.faults.delay_s + self.faults.jitter_s + self._places.delay_s(told, peer)
        self._scheduler.after(delay_s, lambda: self._tell_end(told, peer))

    def _tell_end(self, told: str, peer: str) -> None:
        if self._is_open(peer, told):
            self._disconnected[told](peer)

    def _is_open(self, sender: str, receiver: str) -> bool:
        """Whether anything gets from one peer to the other at present."""
        if receiver not in self._peers or self._places.are_cut(sender, receiver):
            return False
        return self._groups.get(sender, 0) == self._groups.get(receiver, 0)

    def _arrive(self, sender: str, receiver: str, data: bytes) -> None:
        if not self._is_open(sender, receiver):
            return
        self.traffic[receiver].received_messages += 1
        self.traffic[receiver].received_bytes += len(data)
        self._peers[receiver](sender, decode(data))
