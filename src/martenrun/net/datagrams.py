"""Sends datagrams to addresses that other machines have named."""

import socket

from martenrun.net.addresses import InvalidAddressError, parse_endpoint
from martenrun.router.log import log_warning


def send_datagram(sock: socket.socket, address: str, data: bytes) -> None:
    """Send a datagram, unless the address is none or the socket refuses it; never blocks."""
    parsed = parse_address(address)
    if parsed is None:
        return
    try:
        sock.sendto(data, parsed)
    except OSError:
        return


def parse_address(address: str) -> tuple[str, int] | None:
    """Return IP address and port of ``IP:port``, or None for anything else, which is logged."""
    try:
        return parse_endpoint(address)
    except InvalidAddressError as exc:
        log_warning("address_unusable", fault=str(exc))
        return None
