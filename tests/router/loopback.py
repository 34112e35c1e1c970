"""Helpers that run a loop and talk to it over real sockets in the same thread."""

import socket
import time

from martenrun.net.loop import Loop

TIMEOUT_S = 10.0


def free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def serve_until(loop: Loop, condition):
    """Run the loop until a condition holds; fail after ``TIMEOUT_S`` seconds."""
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, "the condition did not become true"
        loop.call_later(0.01, lambda: None)
        loop.run_once()


class Peer:
    """One end of a connection, read whenever the loop has run."""

    def __init__(self, sock):
        self.sock = sock
        self.sock.setblocking(False)
        self.received = b""
        self.is_closed = False
        self.is_reset = False

    @classmethod
    def connected(cls, address):
        host, _, port = address.rpartition(":")
        return cls(socket.create_connection((host, int(port))))

    def send(self, data):
        self.sock.setblocking(True)
        self.sock.sendall(data)
        self.sock.setblocking(False)

    def read(self):
        while not self.is_closed:
            try:
                data = self.sock.recv(65536)
            except BlockingIOError:
                break
            except OSError:
                self.is_closed = self.is_reset = True
                break
            if not data:
                self.is_closed = True
            self.received += data
        return self.received

    def close(self):
        self.sock.close()


class RunnerPeer:
    """A listener through which a test acts as a runner."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(16)
        self.listener.setblocking(False)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.peers = []

    def accept(self):
        try:
            sock, _ = self.listener.accept()
        except BlockingIOError:
            return self.peers
        self.peers.append(Peer(sock))
        return self.peers

    def close(self):
        self.listener.close()
        for peer in self.peers:
            peer.close()
