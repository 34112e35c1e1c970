"""Internal messages that go in one datagram each.

See also: :mod:`martenrun.wire.transport`, :func:`martenrun.wire.frames.seal_datagram`.
"""

import socket
from collections.abc import Callable
from typing import Any

from absl import logging

from martenrun.constants import MAXIMUM_DATAGRAM_BYTES
from martenrun.wire.addresses import parse_address
from martenrun.wire.codec import decode, encode
from martenrun.wire.frames import open_datagram, seal_datagram
from martenrun.wire.keys import ClusterKeys
from martenrun.wire.messages import Message

_READ_AT_ONCE = 64
"""Datagrams read before connections get their turn again."""


class DatagramSocket:
    """A node's UDP socket.

    Args:
        address: ``IP:port`` to receive on.
        name: sender's name in what is sent.
        keys: keys of the cluster.
        receive: called with the sender's name and the message, on the reading thread.

    Attributes:
        sock: the socket, which never blocks.
        sent_bytes: bytes given to the socket so far.
    """

    def __init__(
        self,
        address: str,
        name: str,
        keys: ClusterKeys,
        receive: Callable[[str, Message], Any],
    ) -> None:
        self.sent_bytes = 0
        self._name = name
        self._keys = keys
        self._receive = receive
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(parse_address(address))
        self.sock.setblocking(False)

    def send(self, peer: str, message: Message) -> None:
        """Send a message to a node; it is dropped if it cannot go at once."""
        try:
            datagram = seal_datagram(self._keys.sealing, self._name, encode(message))
            self.sent_bytes += self.sock.sendto(datagram, parse_address(peer))
        except (OSError, ValueError) as error:
            logging.log_every_n_seconds(
                logging.WARNING, "datagram to %s was not sent: %s", 5, peer, error
            )

    def read(self) -> None:
        """Read what has come, up to a limit."""
        for _ in range(_READ_AT_ONCE):
            try:
                datagram = self.sock.recv(MAXIMUM_DATAGRAM_BYTES + 1)
                opened = open_datagram(self._keys.accepted, datagram)
                message = decode(opened.payload)
            except BlockingIOError:
                return
            except (OSError, ValueError, IndexError):
                # A stranger's datagram, or the echo of one that met no listener.
                continue
            self._keys.note_use(opened.key)
            self._receive(opened.sender, message)
