"""WSGI application of the administration API.

``GET /admin/v1/KIND``, ``GET|PUT|DELETE /admin/v1/KIND/NAME`` and ``GET /admin/v1/status``.
A change carries ``If-Match: VERSION`` (0 to create) and is answered only after the object
API has committed it.
"""

import hashlib
import hmac
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import msgspec
from werkzeug.wrappers import Request, Response

from martenrun.configuration.objects import Kind, Policy, Role, checked_name, parse_document
from martenrun.configuration.view import ConfigurationView
from martenrun.edge.request import bearer_token
from martenrun.edge.responses import error_response, json_response
from martenrun.errors import (
    InvalidObjectError,
    InvalidRequestError,
    MartenrunError,
    ObjectNotFoundError,
    PermissionDeniedError,
)
from martenrun.platform.object_api import ObjectApi
from martenrun.sharing.policy import check_policy
from martenrun.sharing.policy_weights import PolicyStatus

ADMIN_PREFIX = "/admin/v1/"


class NamedObject(msgspec.Struct):
    """One object as the administration API shows it."""

    kind: str
    name: str
    version: int
    document: msgspec.Raw


class NodeStatus(msgspec.Struct):
    """What one node tells of itself: the revision in force and its pools' sharing policies."""

    revision: int
    policies: list[PolicyStatus]


class AdminApplication:
    """Serves the administration API.

    Args:
        store: the platform's object API.
        view: returns the configuration in force on this node.
        bootstrap_key_sha256: digest of a platform admin's key that is valid without any
            stored key, so that the first objects can be published; empty for none.
        policies: returns the status of the sharing policies on this node.
    """

    def __init__(
        self,
        store: ObjectApi,
        view: Callable[[], ConfigurationView],
        bootstrap_key_sha256: str,
        policies: Callable[[], Sequence[PolicyStatus]] = tuple,
    ) -> None:
        self._store = store
        self._view = view
        self._bootstrap_key_sha256 = bootstrap_key_sha256
        self._policies = policies

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve one request."""
        request = Request(environ)
        try:
            response = self._serve(request)
        except MartenrunError as error:
            response = error_response(error)
        return response(environ, start_response)

    def _serve(self, request: Request) -> Response:
        role = self._role(request)
        parts = request.path.removeprefix(ADMIN_PREFIX).split("/")
        if parts == ["status"]:
            return json_response(NodeStatus(self._view().revision, list(self._policies())))
        kind = _kind(parts[0])
        if len(parts) == 1:
            return self._list(kind)
        name = _name(parts[1])
        if request.method == "GET":
            return self._get(kind, name)
        if role is not Role.PLATFORM_ADMIN:
            raise PermissionDeniedError(f"role {role.value} may not change {kind.value}")
        return self._change(request, kind, name)

    def _role(self, request: Request) -> Role:
        token = bearer_token(request.headers)
        digest = hashlib.sha256(token.encode()).hexdigest()
        if hmac.compare_digest(digest, self._bootstrap_key_sha256):
            return Role.PLATFORM_ADMIN
        role = self._view().key_of(token).role
        if role is Role.CALLER:
            raise PermissionDeniedError("a caller's key does not open the administration API")
        return role

    def _list(self, kind: Kind) -> Response:
        update = self._store.list_all([kind.value])
        objects = [
            NamedObject(item.kind, item.name, item.revision, msgspec.Raw(item.document))
            for item in update.objects
        ]
        return json_response(objects)

    def _get(self, kind: Kind, name: str) -> Response:
        item = self._store.get(kind.value, name)
        shown = NamedObject(item.kind, item.name, item.revision, msgspec.Raw(item.document))
        return json_response(shown)

    def _change(self, request: Request, kind: Kind, name: str) -> Response:
        expected = _expected_version(request)
        document = None
        if request.method == "PUT":
            document = request.get_data()
            parsed = parse_document(kind, document)
            if isinstance(parsed, Policy):
                check_policy(parsed.expression)
        elif request.method != "DELETE":
            raise InvalidRequestError(f"method {request.method} is not served here")
        elif expected == 0:
            raise ObjectNotFoundError(f"{kind.value}/{name}: deleting needs its version")
        version = self._store.write(kind.value, name, expected, document)
        return json_response({"version": version})


def _kind(text: str) -> Kind:
    try:
        return Kind(text)
    except ValueError as error:
        known = ", ".join(kind.value for kind in Kind)
        raise ObjectNotFoundError(f"unknown kind {text!r}; use one of: {known}") from error


def _name(text: str) -> str:
    try:
        return checked_name(text)
    except ValueError as error:
        raise InvalidObjectError(f"name {text!r}: {error}") from error


def _expected_version(request: Request) -> int:
    text = request.headers.get("If-Match", "0").strip('"')
    if not text.isdigit():
        raise InvalidRequestError("header If-Match must be the object's version, 0 to create")
    return int(text)
