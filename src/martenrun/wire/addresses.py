"""Addresses of sockets as they are written in settings and messages."""

import ipaddress


def parse_address(text: str) -> tuple[str, int]:
    """Parse ``IP:port``; raises ValueError with the remedy for anything else."""
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit() or not 0 <= int(port) <= 65_535:
        raise ValueError(f"{text!r} is not of the form IP:port")
    ipaddress.ip_address(host)
    return host, int(port)
