"""A TCP relay whose connections can be cut and slowed, for trials with real processes."""

import contextlib
import select
import socket
import threading
import time

from martenrun.platform.standins.http_server import reserve_port

_READ_BYTES = 65_536
_CONNECT_TIMEOUT_S = 2.0
_LOOK_S = 0.02
_LOOPBACK_IP = "127.0.0.1"
_FILLERS = 3
"""Connections that fill the queue of a listener with a backlog of 0."""


class FaultyRelay:
    """Relays connections at ``address`` to ``target``, both ``IP:port``.

    Args:
        source_ip: address that the target sees connections come from; that of the peer if empty.

    Attributes:
        delay_s: waited before each piece is passed on, in seconds.
        is_mute: whether what the target sends is held back, while what it is sent passes.
        connections: connections relayed so far.
    """

    def __init__(self, target: str, source_ip: str = "") -> None:
        self._source_ip = source_ip
        # The port is bound as it is drawn: one that is drawn first may be another's by then.
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.delay_s = 0.0
        self.is_mute = False
        self.connections = 0
        self._is_stalled = False
        self._held: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self._silent: set[socket.socket] = set()
        self._target = _parsed(target)
        self._is_cut = False
        self._open: set[socket.socket] = set()
        self._lock = threading.Lock()
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Break every connection, and each new one, until :meth:`restore`."""
        self._is_cut = True
        with self._lock:
            broken = list(self._open)
        for sock in broken:
            _shut(sock)

    def refuse(self) -> None:
        """Break every connection and refuse new ones, as a machine does whose process has ended."""
        self.cut()
        self.refuse_new()

    def refuse_new(self) -> None:
        """Refuse new connections; open ones are relayed on."""
        _shut(self._listener)
        self._listener.close()
        self._held = reserve_port(_parsed(self.address))

    def stall(self) -> None:
        """Drop all packets, as a partition does: open connections stop and new ones hang.

        What open connections hold up is passed on once the relay is restored.
        """
        self._is_stalled = True
        self.refuse_new()
        assert self._held is not None
        # Linux drops connection requests while the queue of accepted connections is full.
        self._held.listen(0)
        for _ in range(_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(_parsed(self.address))
            self._fillers.append(filler)

    def restore(self) -> None:
        """Relay again, without delay."""
        self._is_stalled = False
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        if self._held is not None:
            self._listener, self._held = self._held, None
            self._listener.listen()
            threading.Thread(target=self._accept, daemon=True).start()
        self._is_cut = False
        self.delay_s = 0.0
        self.is_mute = False

    def silence_open(self) -> None:
        """Pass nothing on any more over the connections that are open now, without a reset."""
        with self._lock:
            self._silent |= self._open

    def close(self) -> None:
        """Break every connection and take no more."""
        self.cut()
        _shut(self._listener)
        self._listener.close()
        for filler in self._fillers:
            filler.close()
        if self._held is not None:
            self._held.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._relay, args=(near,), daemon=True).start()

    def _relay(self, near: socket.socket) -> None:
        with contextlib.suppress(OSError), near:
            if self._is_cut:
                return
            source_ip = self._source_ip or near.getpeername()[0]
            source = None if source_ip == _LOOPBACK_IP else (source_ip, 0)
            with socket.create_connection(self._target, _CONNECT_TIMEOUT_S, source) as far:
                if _has_left(near):
                    # Without a relay its connection would not have come up, nor sent anything.
                    return
                far.settimeout(None)
                self._carry_both(near, far)

    def _carry_both(self, near: socket.socket, far: socket.socket) -> None:
        with self._lock:
            self.connections += 1
            self._open |= {near, far}
        back = threading.Thread(target=self._carry, args=(far, near, True), daemon=True)
        back.start()
        self._carry(near, far)
        back.join()
        with self._lock:
            self._open -= {near, far}
            self._silent -= {near, far}

    def _carry(self, source: socket.socket, sink: socket.socket, is_back: bool = False) -> None:
        """Forward bytes until the source reaches end of stream, then shut down the sink."""
        with contextlib.suppress(OSError):
            while data := source.recv(_READ_BYTES):
                if self.delay_s:
                    time.sleep(self.delay_s)
                while (self._is_stalled or (self.is_mute and is_back)) and not self._is_cut:
                    time.sleep(_LOOK_S)
                if self._is_cut or (not is_back and _was_reset(source)):
                    # A sender that resets its connection takes back what has not been delivered.
                    break
                if source not in self._silent:
                    sink.sendall(data)
        if source not in self._silent:
            # Routers do not half-close towards targets: later writes of the target must fail.
            how = socket.SHUT_WR if is_back else socket.SHUT_RDWR
            with contextlib.suppress(OSError):
                sink.shutdown(how)


def _parsed(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _has_left(sock: socket.socket) -> bool:
    """Whether the peer has closed its side, whatever it sent before."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def _was_reset(sock: socket.socket) -> bool:
    """Whether the peer has reset the connection, whatever it sent before."""
    poll = select.poll()
    poll.register(sock, 0)
    return any(events & select.POLLERR for _, events in poll.poll(0))


def _shut(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
