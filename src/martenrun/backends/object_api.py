"""Adapter of the platform's object API.

Every write carries a change identity, ``EXPECTED.RANDOM``, that is stored with the object.
When a write's answer is lost, the object is read back: its change identity tells whether this
write took effect.  See also: docs/design/configuration.md.
"""

import secrets
import time
from collections.abc import Iterable

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from martenrun.backends.http import connection_pool
from martenrun.errors import (
    ChangeOutcomeUnknownError,
    ObjectNotFoundError,
    StoreUnavailableError,
    VersionConflictError,
    WatchCompactedError,
)
from martenrun.wire.messages import ConfigurationObject, ConfigurationUpdate

_READ_TIMEOUT_S = 10.0
READ_BACK_PAUSES_S = (0.0, 0.1, 0.4, 1.0)
"""Pauses before each try to read an object back after a write's answer was lost."""


class _Object(msgspec.Struct):
    kind: str
    name: str
    version: int
    deleted: bool
    document: msgspec.Raw
    change: str = ""


class _List(msgspec.Struct):
    revision: int
    objects: list[_Object]


class _Version(msgspec.Struct):
    version: int


class ObjectApi:
    """Client of the object API; safe to use from several driver threads."""

    def __init__(self, address: str) -> None:
        self._pool = connection_pool(address, _READ_TIMEOUT_S, size=4)

    def list_all(self, kinds: Iterable[str] = ()) -> ConfigurationUpdate:
        """Return a complete copy of some kinds, or of all."""
        response = self._request("GET", f"/v1/objects?kinds={','.join(kinds)}")
        found = msgspec.json.decode(response.data, type=_List)
        objects = [_converted(item) for item in found.objects]
        return ConfigurationUpdate(0, found.revision, objects, complete=True)

    def list_page(self, kind: str, after_name: str, limit: int) -> list[ConfigurationObject]:
        """Return the first objects of a kind whose names come after one, in order."""
        path = f"/v1/objects?kinds={kind}&after_name={after_name}&limit={limit}"
        response = self._request("GET", path)
        found = msgspec.json.decode(response.data, type=_List)
        return [_converted(item) for item in found.objects]

    def changes(self, after: int, wait_s: float, kinds: Iterable[str] = ()) -> ConfigurationUpdate:
        """Return changes after a revision, waiting up to ``wait_s`` for one.

        Raises:
            WatchCompactedError: the changes are no longer known; list all.
        """
        path = f"/v1/objects?after={after}&wait_s={wait_s}&kinds={','.join(kinds)}"
        response = self._request("GET", path)
        if response.status == 410:
            raise WatchCompactedError(f"changes after revision {after} were compacted")
        found = msgspec.json.decode(response.data, type=_List)
        objects = [_converted(item) for item in found.objects]
        return ConfigurationUpdate(after, found.revision, objects)

    def get(self, kind: str, name: str) -> ConfigurationObject:
        """Return one object; raises ObjectNotFoundError."""
        found = self._read(kind, name)
        if found.deleted:
            raise ObjectNotFoundError(f"{kind}/{name} does not exist")
        return _converted(found)

    def write(self, kind: str, name: str, expected: int, document: bytes | None) -> int:
        """Compare-and-swap an object; a document of None removes it.

        Returns:
            The new version; after a lost answer only once it is known to have taken effect.

        Raises:
            VersionConflictError: it certainly was not written; with the version present.
            ChangeOutcomeUnknownError: it may or may not have been, or still be, written.
        """
        change = f"{expected}.{secrets.token_hex(8)}"
        method = "DELETE" if document is None else "PUT"
        path = f"/v1/objects/{kind}/{name}?expected={expected}&change={change}"
        try:
            response = self._request(method, path, document)
        except StoreUnavailableError as error:
            return self._read_back(kind, name, expected, change, error)
        version = msgspec.json.decode(response.data, type=_Version).version
        if response.status == 409:
            raise _conflict(kind, name, expected, version)
        return version

    def _read_back(
        self, kind: str, name: str, expected: int, change: str, cause: StoreUnavailableError
    ) -> int:
        for pause_s in READ_BACK_PAUSES_S:
            time.sleep(pause_s)
            try:
                found = self._read(kind, name)
            except StoreUnavailableError:
                continue
            if found.change == change:
                return found.version
            if expected and found.change.startswith(f"{expected}."):
                # Another write replaced the version we expected: ours can never do so.
                present = 0 if found.deleted else found.version
                raise _conflict(kind, name, expected, present)
        raise ChangeOutcomeUnknownError(
            f"{kind}/{name}: the object API did not tell whether the change took effect"
        ) from cause

    def _read(self, kind: str, name: str) -> _Object:
        response = self._request("GET", f"/v1/objects/{kind}/{name}")
        return msgspec.json.decode(response.data, type=_Object)

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


def _conflict(kind: str, name: str, expected: int, present: int) -> VersionConflictError:
    message = f"{kind}/{name} has version {present}, not {expected}"
    return VersionConflictError(message, present_version=present)


def _converted(item: _Object) -> ConfigurationObject:
    document = bytes(item.document)
    return ConfigurationObject(item.kind, item.name, item.version, item.deleted, document)
