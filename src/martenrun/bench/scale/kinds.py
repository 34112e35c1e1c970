"""Bytes of a scale run by kind of message, with the frames that TCP connections would carry."""

import collections
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from martenrun.simulation.network import SimulatedNetwork
from martenrun.wire.messages import Message


class KindUsage(msgspec.Struct, frozen=True):
    """What one kind of message cost, by request of the load; bytes are with frames."""

    kind: str
    messages_per_request: float
    bytes_per_request: float


@dataclass(slots=True)
class _Sent:
    """Messages and bytes of one kind."""

    messages: int = 0
    bytes: int = 0


class KindCountingNetwork(SimulatedNetwork):
    """Counts what each kind of message costs its senders.

    Attributes:
        sent_kinds: what was sent, by (sender, kind).
    """

    sent_kinds: dict[tuple[str, str], _Sent]

    def _count(self, sender: str, message: Message, size: int, frame_bytes: int) -> None:
        super()._count(sender, message, size, frame_bytes)
        sent = self.sent_kinds[(sender, type(message).__name__)]
        sent.messages += 1
        sent.bytes += size + frame_bytes

    def forget_kinds(self) -> None:
        """Start counting anew."""
        self.sent_kinds = collections.defaultdict(_Sent)

    def kinds(self, is_wanted: Callable[[str], bool], requests: int) -> list[KindUsage]:
        """Return what the wanted senders have sent, by request, the most bytes first."""
        sums: dict[str, _Sent] = collections.defaultdict(_Sent)
        for (sender, kind), sent in self.sent_kinds.items():
            if is_wanted(sender):
                sums[kind].messages += sent.messages
                sums[kind].bytes += sent.bytes
        ordered = sorted(sums.items(), key=lambda item: item[1].bytes, reverse=True)
        return [
            KindUsage(kind, round(sent.messages / requests, 2), round(sent.bytes / requests, 1))
            for kind, sent in ordered
        ]
