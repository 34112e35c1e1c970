"""Client of the administration API, for the command line."""

from collections.abc import Iterator

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from martenrun.admin.messages import (
    ADMIN_PREFIX,
    MAXIMUM_PAGE_OBJECTS,
    NEXT_AFTER_HEADER,
    Accepted,
    Checked,
    NamedObject,
    Status,
)
from martenrun.edge.error_bodies import ErrorBody
from martenrun.errors import (
    ChangeOutcomeUnknownError,
    MartenrunError,
    NodeUnavailableError,
    NotFoundError,
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

    def check(self, kind: str, name: str, document: bytes, version: int) -> Checked:
        """Check what :meth:`apply` would do, and change nothing."""
        path = f"{kind}/{name}?dry_run=true"
        try:
            response = self._call("PUT", path, document, {"If-Match": str(version)})
        except HTTPError as error:
            raise _unanswered(error) from error
        return msgspec.json.decode(response.data, type=Checked)

    def delete(self, kind: str, name: str, version: int) -> int:
        """Delete an object; returns the version of the deletion."""
        return self._change("DELETE", f"{kind}/{name}", None, version)

    def get(self, kind: str, name: str) -> NamedObject:
        """Return one object."""
        return msgspec.json.decode(self._read(f"{kind}/{name}").data, type=NamedObject)

    def list(self, kind: str) -> Iterator[NamedObject]:
        """Return every object of a kind that the key may read, in the order of names."""
        after: str | None = ""
        while after is not None:
            page = self._read(f"{kind}?limit={MAXIMUM_PAGE_OBJECTS}&after={after}")
            yield from msgspec.json.decode(page.data, type=list[NamedObject])
            after = page.headers.get(NEXT_AFTER_HEADER)

    def status(self) -> Status:
        """Return the status of the configuration on all nodes."""
        return msgspec.json.decode(self._read("status").data, type=Status)

    def _change(self, method: str, path: str, body: bytes | None, version: int) -> int:
        try:
            response = self._call(method, path, body, {"If-Match": str(version)})
        except HTTPError as error:
            # The node may have committed the change before its answer got lost.
            message = f"the node did not answer: {error}"
            raise ChangeOutcomeUnknownError(message) from error
        return msgspec.json.decode(response.data, type=Accepted).version

    def _read(self, path: str) -> urllib3.BaseHTTPResponse:
        try:
            return self._call("GET", path, None, {})
        except HTTPError as error:
            raise _unanswered(error) from error

    def _call(
        self, method: str, path: str, body: bytes | None, headers: dict[str, str]
    ) -> urllib3.BaseHTTPResponse:
        url = self._base + path
        response = self._http.request(method, url, body=body, headers=self._headers | headers)
        if response.status >= 400:
            raise _error(response.status, response.data)
        return response


def _unanswered(error: HTTPError) -> NodeUnavailableError:
    return NodeUnavailableError(f"the node did not answer: {error}", remedy="Ask another node.")


def _error(status: int, body: bytes) -> MartenrunError:
    try:
        detail = msgspec.json.decode(body, type=ErrorBody).error
    except msgspec.MsgspecError:
        return _no_administration(status)
    if detail.code == NotFoundError.code:
        return _no_administration(status)
    kind = error_classes().get(detail.code, MartenrunError)
    if issubclass(kind, VersionConflictError):
        present = detail.present_version or 0
        return VersionConflictError(detail.message, present_version=present)
    return kind(detail.message, remedy=detail.remedy)


def _no_administration(status: int) -> NodeUnavailableError:
    message = f"what answered, with status {status}, is no node's administration API"
    remedy = "Give the IP:port of a node's HTTP edge; agents have no administration API."
    return NodeUnavailableError(message, remedy=remedy)
