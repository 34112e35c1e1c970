"""Limits of the transport: what one connection may cost, and for how long."""

import random
import socket
from dataclasses import dataclass

from absl import logging

from martenrun.wire.addresses import parse_address

HANDSHAKE_TIMEOUT_S = 3.0
"""Time until a connection must be established, in seconds."""

MAXIMUM_UNESTABLISHED = 256
"""Accepted connections without a handshake; beyond it the oldest is closed."""

MAXIMUM_OUTGOING_BYTES = 8 * 1024 * 1024
"""Bytes that may wait for one peer; beyond it the connection is closed."""

MAXIMUM_TOTAL_OUTGOING_BYTES = 32 * 1024 * 1024
"""Bytes that may wait for all peers together; beyond it messages are dropped."""

STUCK_TIMEOUT_S = 10.0
"""Time after which a peer that takes no bytes is given up, in seconds."""

SUPERSEDED_IDLE_S = 30.0
"""Silence after which a connection is closed if its peer has a newer one, in seconds."""

SWEEP_INTERVAL_S = 0.5
"""Time between two checks of these limits, in seconds."""

FIRST_BACKOFF_S = 0.1
LAST_BACKOFF_S = 2.0
"""Shortest and longest time between two attempts to connect to a peer, in seconds."""

_KEEPALIVE_IDLE_S = 4
_KEEPALIVE_INTERVAL_S = 3


def tune(sock: socket.socket) -> None:
    """Send small messages at once and have the kernel notice a peer that is gone.

    ``STUCK_TIMEOUT_S`` bounds both the time that data stays unacknowledged and, for an idle
    connection, the time since the peer was last heard: TCP_KEEPCNT has no effect beside
    TCP_USER_TIMEOUT.  By then two keep-alive probes are unanswered, so that a peer may be silent
    for a few seconds.
    """
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    user_timeout_ms = int(STUCK_TIMEOUT_S * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)


def connecting_socket(peer: str) -> socket.socket | None:
    """Begin to connect to ``IP:port``; None if it is no address or no socket is left."""
    try:
        address = parse_address(peer)
        sock = socket.socket(socket.AF_INET)
        tune(sock)
    except ValueError:
        return None
    except OSError as error:
        logging.log_every_n_seconds(logging.WARNING, "no socket for %s: %s", 5, peer, error)
        return None
    sock.connect_ex(address)
    return sock


@dataclass(slots=True)
class _Backoff:
    pause_s: float
    until: float


class Backoffs:
    """When each peer that could not be connected to may be tried again."""

    def __init__(self) -> None:
        self._peers: dict[str, _Backoff] = {}

    def may_connect(self, peer: str, now: float) -> bool:
        """Return whether a new attempt is due."""
        backoff = self._peers.get(peer)
        return backoff is None or now >= backoff.until

    def failed(self, peer: str, now: float) -> None:
        """Note a failed attempt; the pause doubles and is jittered."""
        before = self._peers.get(peer)
        pause_s = FIRST_BACKOFF_S if before is None else min(2 * before.pause_s, LAST_BACKOFF_S)
        self._peers[peer] = _Backoff(pause_s, now + pause_s * random.uniform(0.5, 1.0))

    def succeeded(self, peer: str) -> None:
        """Forget the failures of a peer."""
        self._peers.pop(peer, None)

    def forget_old(self, now: float) -> None:
        """Forget peers that nobody has tried to reach for a while."""
        for peer in [key for key, b in self._peers.items() if now > b.until + 10 * LAST_BACKOFF_S]:
            del self._peers[peer]
