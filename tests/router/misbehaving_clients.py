"""Clients that send without end, stop short of the end, or do not read what they are sent."""

import contextlib
import selectors
import socket
import time

BLOCK = 65_536
LIMIT_S = 60.0
"""When a crowd is given up that neither is closed nor gets rid of its bytes, in seconds."""

BODY_BYTES = 4_194_304
"""Maximum size of a body, by default."""

FIELD = b"X-F: ffffffff\r\n"
SHORT_FIELD = b"a:\r\n"
HEADERS = (
    b"Host: api.example\r\nX-Key: key-1\r\nX-Deadline-Ms: 4000\r\nX-Request-Id: crowd-%d-%d\r\n"
)
MODEL_HEADERS = b"X-Model-Id: m\r\nX-Token-Usage: 1000,20\r\nX-Prefix-Hash: aa:600,bb:400\r\n"


def head(client, request, path=b"/pay/x", headers=b""):
    """Return the head of a request up to the fields that describe its body."""
    line = b"POST " + path + b" HTTP/1.1\r\n"
    return line + HEADERS % (client, request) + headers


def announced(size):
    return b"Content-Length: %d\r\n\r\n" % size


CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def chunks(size):
    """Return a body of this size in chunks of 16 KiB, without the last chunk."""
    return b"".join([b"4000\r\n" + bytes(16_384) + b"\r\n"] * (size // 16_384))


def filled(filler, size):
    return filler * (size // len(filler))


class Client:
    """One connection: sends its bytes, then stays open; what it is sent is read only if it reads.

    Attributes:
        unsent: what it has not sent yet.
        is_closed: whether the other side has closed the connection.
    """

    def __init__(self, address, data, reads):
        self.sock = socket.socket()
        # A small window keeps what is not read at the sender.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self.sock.settimeout(LIMIT_S)
        self.is_closed = False
        self.unsent = memoryview(data)
        self._reads = reads
        try:
            self.sock.connect(address)
        except OSError:
            self.is_closed = True
        self.sock.setblocking(False)

    @property
    def events(self):
        reading = selectors.EVENT_READ if self._reads else 0
        return reading | (selectors.EVENT_WRITE if self.unsent else 0)

    def handle(self, ready, piece):
        """Send a piece, or read."""
        try:
            if ready & selectors.EVENT_READ and not self.sock.recv(BLOCK):
                self.is_closed = True
            if ready & selectors.EVENT_WRITE and self.unsent:
                self.unsent = self.unsent[self.sock.send(self.unsent[:piece]) :]
        except BlockingIOError:
            return
        except OSError:
            self.is_closed = True


class Crowd:
    """Clients of one address that send side by side, piece by piece.

    Args:
        address: ``IP:port``.
        size: number of clients.
        data_of: returns the bytes that a client sends, given its number.
        reads: whether clients read what they are sent.
        piece: how much each client sends before the next one's turn, in bytes.
    """

    def __init__(self, address, size, data_of, reads=True, piece=BLOCK):
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._size = size
        self._data_of = data_of
        self._reads = reads
        self._piece = piece
        self.clients = []

    def send(self, is_enough=lambda: False):
        """Send until every client is closed, has sent all, or can send no more.

        Args:
            is_enough: whether to stop before; asked between the turns.
        """
        with selectors.DefaultSelector() as selector:
            for number in range(self._size):
                client = Client(self._address, self._data_of(number), self._reads)
                self.clients.append(client)
                if not client.is_closed:
                    selector.register(client.sock, selectors.EVENT_WRITE, client)
            end = time.monotonic() + LIMIT_S
            while any(key.data.unsent for key in selector.get_map().values()):
                assert time.monotonic() < end, "the crowd is neither closed nor rid of its bytes"
                ready_keys = selector.select(1.0)
                for key, ready in ready_keys:
                    key.data.handle(ready, self._piece)
                    self._watch(selector, key.data)
                if not ready_keys or is_enough():
                    return

    @staticmethod
    def _watch(selector, client):
        if client.is_closed or not client.events:
            selector.unregister(client.sock)
        else:
            selector.modify(client.sock, client.events, client)

    def close(self):
        for client in self.clients:
            with contextlib.suppress(OSError):
                client.sock.close()
