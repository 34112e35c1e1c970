"""Adapter of the platform's machine list."""

import sys
from collections.abc import Mapping

import msgspec
from urllib3.exceptions import HTTPError

from martenrun.backends.http import connection_pool
from martenrun.errors import StoreUnavailableError

_READ_TIMEOUT_S = 5.0


class Machine(msgspec.Struct, frozen=True, gc=False):
    """A machine that runs an engine (``role`` engine) or a node (``role`` node)."""

    name: str
    role: str
    address: str
    zone: str
    pool: str = ""
    state: str = "live"

    @property
    def is_leaving(self) -> bool:
        """Whether the machine must get no new work."""
        return self.state != "live"


_decoder = msgspec.json.Decoder(Machine)


def shared_machine(machine: Machine, before: Machine | None) -> Machine:
    """Return an equal machine that takes least memory.

    A node knows some ten thousand machines, and few different zones and pools.

    Args:
        machine: as it was just decoded, with texts of its own.
        before: what was known of the machine before, kept if it is equal.
    """
    if machine == before:
        return before
    return Machine(
        machine.name if before is None else before.name,
        sys.intern(machine.role),
        machine.address,
        sys.intern(machine.zone),
        sys.intern(machine.pool),
        sys.intern(machine.state),
    )


def decoded_machines(data: bytes, before: Mapping[str, Machine]) -> list[Machine]:
    """Return the machines of the platform's answer.

    Each is decoded by itself: a whole list of texts that are then given up would leave memory
    with holes, which a process does not give back.

    Args:
        data: the answer.
        before: the machines known before, by name; unchanged ones are the same objects.
    """
    entries = msgspec.json.decode(data, type=list[msgspec.Raw])
    machines = map(_decoder.decode, entries)
    return [shared_machine(machine, before.get(machine.name)) for machine in machines]


class MachineList:
    """Client of the machine list."""

    def __init__(self, address: str) -> None:
        self._pool = connection_pool(address, _READ_TIMEOUT_S, size=2)
        self._last_data = b""
        self._last_machines: list[Machine] = []

    def machines(self) -> list[Machine]:
        """Return the machines as the platform shows them, possibly some seconds late.

        The same list object is returned while the platform's answer is the same.
        """
        try:
            response = self._pool.request("GET", "/v1/machines")
        except HTTPError as error:
            raise StoreUnavailableError(f"the machine list did not answer: {error}") from error
        if response.status != 200:
            raise StoreUnavailableError(f"the machine list answered {response.status}")
        if response.data != self._last_data or not self._last_data:
            before = {machine.name: machine for machine in self._last_machines}
            self._last_machines = decoded_machines(response.data, before)
            self._last_data = response.data
        return self._last_machines
