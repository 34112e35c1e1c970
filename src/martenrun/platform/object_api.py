"""Adapter of the platform's object API."""

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from martenrun.constants import CLAIM_KIND
from martenrun.errors import ObjectNotFoundError, StoreUnavailableError, VersionConflictError
from martenrun.platform.http import connection_pool
from martenrun.wire.messages import ConfigurationObject, ConfigurationUpdate

_READ_TIMEOUT_S = 10.0


class _Object(msgspec.Struct):
    kind: str
    name: str
    version: int
    deleted: bool
    document: msgspec.Raw


class _List(msgspec.Struct):
    revision: int
    objects: list[_Object]


class _Version(msgspec.Struct):
    version: int


class ObjectApi:
    """Client of the object API; safe to use from several driver threads."""

    def __init__(self, address: str) -> None:
        self._pool = connection_pool(address, _READ_TIMEOUT_S, size=4)

    def changes(self, after: int, wait_s: float) -> ConfigurationUpdate:
        """Return changes after a revision, waiting up to ``wait_s`` for one."""
        response = self._request("GET", f"/v1/objects?after={after}&wait_s={wait_s}")
        found = msgspec.json.decode(response.data, type=_List)
        # Claims are read one by one where they are needed; watchers do not hold them.
        objects = [_converted(item) for item in found.objects if item.kind != CLAIM_KIND]
        return ConfigurationUpdate(after, found.revision, objects)

    def get(self, kind: str, name: str) -> ConfigurationObject:
        """Return one object; raises ObjectNotFoundError."""
        response = self._request("GET", f"/v1/objects/{kind}/{name}")
        if response.status == 404:
            raise ObjectNotFoundError(f"{kind}/{name} does not exist")
        return _converted(msgspec.json.decode(response.data, type=_Object))

    def write(self, kind: str, name: str, expected: int, document: bytes | None) -> int:
        """Compare-and-swap an object; a document of None removes it.

        Returns:
            The new version.

        Raises:
            VersionConflictError: with the version present.
            StoreUnavailableError: the outcome is not known.
        """
        method = "DELETE" if document is None else "PUT"
        path = f"/v1/objects/{kind}/{name}?expected={expected}"
        response = self._request(method, path, document)
        version = msgspec.json.decode(response.data, type=_Version).version
        if response.status == 409:
            message = f"{kind}/{name} has version {version}, not {expected}"
            raise VersionConflictError(message, present_version=version)
        return version

    def _request(
        self, method: str, path: str, body: bytes | None = None
    ) -> urllib3.BaseHTTPResponse:
        try:
            response = self._pool.request(method, path, body=body)
        except HTTPError as error:
            raise StoreUnavailableError(f"the object API did not answer: {error}") from error
        if response.status >= 500:
            raise StoreUnavailableError(f"the object API answered {response.status}")
        return response


def _converted(item: _Object) -> ConfigurationObject:
    document = bytes(item.document)
    return ConfigurationObject(item.kind, item.name, item.version, item.deleted, document)
