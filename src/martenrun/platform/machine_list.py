"""Adapter of the platform's machine list."""

from dataclasses import dataclass

import msgspec
from urllib3.exceptions import HTTPError

from martenrun.errors import StoreUnavailableError
from martenrun.platform.http import connection_pool

_READ_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class Machine:
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
            self._last_machines = msgspec.json.decode(response.data, type=list[Machine])
            self._last_data = response.data
        return self._last_machines
