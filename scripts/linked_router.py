"""Starts a router whose connections pass through relays and whose datagrams can be lost.

Files beside its settings map addresses to those of relays, and name the delay of the datagrams that
it sends to others; they are read again when they change.  So one router can be cut off from places
that others reach.
"""

import json
import os
import runpy
import socket
import sys
from pathlib import Path
from typing import Any

from link_files import DATAGRAMS_SUFFIX, LINKS_SUFFIX

ROOT = Path(__file__).resolve().parent.parent

sys.path.insert(0, str(ROOT / "src"))

from martenrun.net import stream  # noqa: E402


class ChangingFile:
    """A JSON object in a file that may be missing, empty until then."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._changed_at = 0
        self._content: dict[str, Any] = {}

    def read(self) -> dict[str, Any]:
        """Return the content as it is now."""
        try:
            changed_at = self._path.stat().st_mtime_ns
        except FileNotFoundError:
            return self._content
        if changed_at != self._changed_at:
            self._content = json.loads(self._path.read_text())
            self._changed_at = changed_at
        return self._content


class FaultySocket:
    """A datagram socket that loses or delays what it sends to some IPs.

    Args:
        delays_s: delay of datagrams to each IP in seconds, None if they are lost.
    """

    def __init__(self, loop: stream.Loop, sock: socket.socket, delays_s: ChangingFile) -> None:
        self._loop = loop
        self._socket = sock
        self._delays_s = delays_s

    def __getattr__(self, name: str) -> Any:
        return getattr(self._socket, name)

    def sendto(self, data: bytes, address: tuple[str, int]) -> int:
        """Send a datagram as the file says."""
        delay_s = self._delays_s.read().get(address[0], 0.0)
        if delay_s is None:
            return len(data)
        if delay_s:
            self._loop.call_later(delay_s, lambda: self._send_late(data, address))
            return len(data)
        return self._socket.sendto(data, address)

    def _send_late(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            self._socket.sendto(data, address)
        except OSError:
            return


class Links:
    """The relays' addresses by the addresses that they stand for."""

    def __init__(self, path: Path) -> None:
        self._addresses = ChangingFile(path)

    def resolve(self, address: str) -> str:
        """Return the address to connect to instead of a listed one."""
        resolved: str = self._addresses.read().get(address, address)
        return resolved


def follow_links(links: Links) -> None:
    """Open all streams at the addresses of the relays."""
    open_stream = stream.open_stream

    def open_linked(loop: stream.Loop, address: str, owner: stream.StreamOwner) -> stream.Stream:
        return open_stream(loop, links.resolve(address), owner)

    stream.open_stream = open_linked


def follow_datagram_faults(delays_s: ChangingFile) -> None:
    """Send gossip and updates through sockets that lose or delay them."""
    # Imported here: its modules take over open_stream as it is when they are imported.
    from martenrun.router.peers import Peers

    open_socket = Peers._open

    def open_faulty(peers: Peers, address: str) -> Any:
        return FaultySocket(peers._loop, open_socket(peers, address), delays_s)

    Peers._open = open_faulty


if __name__ == "__main__":
    settings = Path(os.environ["MARTENRUN_SETTINGS"])
    follow_links(Links(settings.with_suffix(LINKS_SUFFIX)))
    follow_datagram_faults(ChangingFile(settings.with_suffix(DATAGRAMS_SUFFIX)))
    runpy.run_path(str(ROOT / "deploy" / "router.py"), run_name="__main__")
