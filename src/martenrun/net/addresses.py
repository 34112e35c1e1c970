"""Addresses ``IP:port`` of peers, as other machines have named them."""

import errno
import functools
import re
import socket

MAXIMUM_PORT = 65_535

LOGGED_CHARACTERS = 40
"""Length to which an invalid address is truncated in an error's text."""

KNOWN_ADDRESSES = 4_096
"""Number of parsed addresses that are kept."""

_PORT = re.compile("[0-9]{1,5}")


class InvalidAddressError(OSError):
    """An address is not an IPv4 address and a port from 1 to 65535; its errno is EINVAL."""

    def __init__(self, address: str) -> None:
        super().__init__(errno.EINVAL, f"invalid address {address[:LOGGED_CHARACTERS]!r}")


@functools.lru_cache(KNOWN_ADDRESSES)
def parse_endpoint(address: str) -> tuple[str, int]:
    """Split ``IP:port``; raises InvalidAddressError, also for host names.

    Looking a name up would block the event loop.
    """
    host, _, port = address.rpartition(":")
    if _PORT.fullmatch(port) is None or not 0 < int(port) <= MAXIMUM_PORT:
        raise InvalidAddressError(address)
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError) as exc:
        raise InvalidAddressError(address) from exc
    return host, int(port)
