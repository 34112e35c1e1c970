"""Checking, before anything is started, that a process can listen where it is told to."""

import socket
from collections.abc import Mapping

from martenrun.errors import SettingsError
from martenrun.wire.transport import parse_address


def check_can_listen(addresses: Mapping[str, str]) -> None:
    """Check that each address belongs to this machine and that its port is free.

    Args:
        addresses: ``IP:port`` by the name of the setting that gives it.

    Raises:
        ExceptionGroup: of SettingsError, one for each address that cannot be listened on.
    """
    faults = []
    for setting, address in addresses.items():
        try:
            _bind(address)
        except (OSError, ValueError) as error:
            remedy = f"give {setting} an address of this machine with a free port, as IP:port"
            faults.append(SettingsError(f"cannot listen on {address}: {error}", remedy=remedy))
    if faults:
        raise ExceptionGroup("some addresses cannot be listened on", faults)


def _bind(address: str) -> None:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind(parse_address(address))
