"""Sends datagrams to addresses that other machines have named."""

import functools
import ipaddress
import socket

from martenrun.router.log import log_warning

MAXIMUM_PORT = 65_535

KNOWN_ADDRESSES = 4_096
"""Number of parsed addresses that are kept."""


def send_datagram(sock: socket.socket, address: str, data: bytes) -> None:
    """Send a datagram, unless the address is none or the socket refuses it; never blocks."""
    parsed = parse_address(address)
    if parsed is None:
        return
    try:
        sock.sendto(data, parsed)
    except OSError:
        return


@functools.lru_cache(KNOWN_ADDRESSES)
def parse_address(address: str) -> tuple[str, int] | None:
    """Return IP address and port of ``IP:port``, or None for anything else, which is logged.

    A name is refused as well: looking it up would block the event loop.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        number = int(port)
    except ValueError:
        number = 0
    if not 0 < number <= MAXIMUM_PORT:
        log_warning("address_unusable", address=address[:100])
        return None
    return host, number
