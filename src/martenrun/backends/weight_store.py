"""Adapter of the platform's weight store.

Nodes only ask what exists; engines read the content themselves, in the number that the load
permits allow (see :mod:`martenrun.orders.permits`).
"""

from urllib3.exceptions import HTTPError

from martenrun.backends.http import connection_pool
from martenrun.errors import StoreUnavailableError

_READ_TIMEOUT_S = 5.0


class WeightStore:
    """Client of the weight store."""

    def __init__(self, address: str) -> None:
        self._pool = connection_pool(address, _READ_TIMEOUT_S, size=2)

    def has(self, model: str, name: str) -> bool:
        """Return whether weights or an adapter exist; raises StoreUnavailableError."""
        try:
            response = self._pool.request("HEAD", f"/v1/weights/{model}/{name}")
        except HTTPError as error:
            raise StoreUnavailableError(f"the weight store did not answer: {error}") from error
        if response.status not in (200, 404):
            raise StoreUnavailableError(f"the weight store answered {response.status}")
        return response.status == 200
