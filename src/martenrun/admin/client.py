"""Client of the administration API, for the command line."""

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from martenrun.admin.application import ADMIN_PREFIX, Accepted, NamedObject
from martenrun.admin.status import Status
from martenrun.edge.responses import ErrorBody
from martenrun.errors import (
    ChangeOutcomeUnknownError,
    MartenrunError,
    NodeUnavailableError,
    VersionConflictError,
    error_classes,
)

_TIMEOUT_S = 30.0


class AdminClient:
    """Calls the administration API of one node; errors come back as their typed kinds."""

    def __init__(self, address: str, key: str) -> None:
        self._base = f"http://{address}{ADMIN_PREFIX}"
        self._headers = {"Authorization": f"Bearer {key}"}
        self._http = urllib3.PoolManager(timeout=_TIMEOUT_S, retries=False)

    def apply(self, kind: str, name: str, document: bytes, version: int) -> int:
        """Create (version 0) or replace an object; returns its new version."""
        return self._change("PUT", f"{kind}/{name}", document, version)

    def delete(self, kind: str, name: str, version: int) -> int:
        """Delete an object; returns the version of the deletion."""
        return self._change("DELETE", f"{kind}/{name}", None, version)

    def get(self, kind: str, name: str) -> NamedObject:
        """Return one object."""
        return msgspec.json.decode(self._read(f"{kind}/{name}"), type=NamedObject)

    def list(self, kind: str) -> list[NamedObject]:
        """Return every object of a kind that the key may read."""
        return msgspec.json.decode(self._read(kind), type=list[NamedObject])

    def status(self) -> Status:
        """Return the status of the configuration on all nodes."""
        return msgspec.json.decode(self._read("status"), type=Status)

    def _change(self, method: str, path: str, body: bytes | None, version: int) -> int:
        try:
            data = self._call(method, path, body, {"If-Match": str(version)})
        except HTTPError as error:
            # The node may have committed the change before its answer got lost.
            message = f"the node did not answer: {error}"
            raise ChangeOutcomeUnknownError(message) from error
        return msgspec.json.decode(data, type=Accepted).version

    def _read(self, path: str) -> bytes:
        try:
            return self._call("GET", path, None, {})
        except HTTPError as error:
            message = f"the node did not answer: {error}"
            raise NodeUnavailableError(message, remedy="Ask another node.") from error

    def _call(self, method: str, path: str, body: bytes | None, headers: dict[str, str]) -> bytes:
        url = self._base + path
        response = self._http.request(method, url, body=body, headers=self._headers | headers)
        if response.status >= 400:
            raise _error(response.data)
        return response.data


def _error(body: bytes) -> MartenrunError:
    detail = msgspec.json.decode(body, type=ErrorBody).error
    kind = error_classes().get(detail.code, MartenrunError)
    if issubclass(kind, VersionConflictError):
        present = detail.present_version or 0
        return VersionConflictError(detail.message, present_version=present)
    return kind(detail.message, remedy=detail.remedy)
