"""WSGI application of the administration API.

``GET /admin/v1/KIND``, ``GET|PUT|DELETE /admin/v1/KIND/NAME`` and ``GET /admin/v1/status``.
A change carries ``If-Match: VERSION`` (0 to create) and is answered only after the object
API has committed it.  With ``?dry_run=true`` it is checked as if it were made, and not made.
A list with ``?limit=N&after=NAME`` is one page; ``X-Next-After`` names where the next begins.

See also: :mod:`martenrun.admin.access`, :mod:`martenrun.admin.references`.
"""

import hashlib
import hmac
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from werkzeug.wrappers import Request, Response

from martenrun.admin.access import Operator
from martenrun.admin.assignments import CheckMove, allow_every_move
from martenrun.admin.messages import (
    ADMIN_PREFIX,
    MAXIMUM_PAGE_OBJECTS,
    NEXT_AFTER_HEADER,
    Accepted,
    Checked,
    NamedObject,
    Status,
)
from martenrun.admin.references import check_references, check_unused
from martenrun.admin.weights import check_weights
from martenrun.backends.object_api import ObjectApi
from martenrun.backends.weight_store import WeightStore
from martenrun.configuration.objects import (
    Assignment,
    Document,
    Kind,
    Policy,
    Role,
    checked_name,
    parse_document,
)
from martenrun.configuration.view import ConfigurationView
from martenrun.constants import MAXIMUM_OBJECT_BYTES
from martenrun.edge.request import bearer_token
from martenrun.edge.responses import check_method, error_response, json_response
from martenrun.errors import (
    InvalidObjectError,
    InvalidRequestError,
    MartenrunError,
    ObjectNotFoundError,
    ObjectTooLargeError,
    PermissionDeniedError,
    VersionConflictError,
)
from martenrun.sharing.policy import check_policy
from martenrun.wire.messages import ConfigurationObject

_MAXIMUM_DIGITS = 19
"""Digits of the largest version or number of objects that can be meant."""


class AdminApplication:
    """Serves the administration API.

    Args:
        store: the platform's object API.
        view: returns the configuration in force on this node.
        bootstrap_key_sha256: digest of a platform admin's key that is valid without any
            stored key, so that the first objects can be published; empty for none.
        status: returns the status of the configuration on all nodes.
        weights: the weight store, if pools are to be checked against it.
        check_move: checks that a runner may leave its pool.
    """

    def __init__(
        self,
        store: ObjectApi,
        view: Callable[[], ConfigurationView],
        bootstrap_key_sha256: str,
        status: Callable[[], Status],
        weights: WeightStore | None = None,
        check_move: CheckMove = allow_every_move,
    ) -> None:
        self._store = store
        self._view = view
        self._bootstrap_key_sha256 = bootstrap_key_sha256
        self._status = status
        self._weights = weights
        self._check_move = check_move

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve one request."""
        request = Request(environ)
        try:
            response = self._serve(request)
        except MartenrunError as error:
            response = error_response(error)
        return response(environ, start_response)

    def _serve(self, request: Request) -> Response:
        operator = self._operator(request)
        parts = request.path.removeprefix(ADMIN_PREFIX).split("/")
        if parts == ["status"]:
            check_method(request, "GET")
            if not operator.reads_all:
                raise PermissionDeniedError(f"role {operator.role.value} may not read the status")
            return json_response(self._status())
        kind = _kind(parts[0])
        if len(parts) == 1:
            check_method(request, "GET")
            return self._list(request, operator, kind)
        name = _name("/".join(parts[1:]))
        check_method(request, "GET", "PUT", "DELETE")
        if request.method == "GET":
            return self._get(operator, kind, name)
        operator.check_change(kind)
        return json_response(self._change(request, operator, kind, name))

    def _operator(self, request: Request) -> Operator:
        token = bearer_token(request.headers)
        digest = hashlib.sha256(token.encode()).hexdigest()
        if hmac.compare_digest(digest, self._bootstrap_key_sha256):
            return Operator(Role.PLATFORM_ADMIN)
        key = self._view().key_of(token)
        if key.role is Role.CALLER:
            raise PermissionDeniedError("a caller's key does not open the administration API")
        return Operator(key.role, key.tenant)

    def _list(self, request: Request, operator: Operator, kind: Kind) -> Response:
        limit = _page_limit(request)
        if not operator.reads_all:
            # Few objects; and the name that a page ends with may be another tenant's.
            limit = None
        if limit is None:
            found = self._store.list_all([kind.value]).objects
        else:
            after = request.args.get("after", "")
            found = self._store.list_page(kind.value, _name(after) if after else "", limit)
        response = json_response(
            [_shown(item) for item in found if _may_read(operator, kind, item)]
        )
        if limit is not None and len(found) >= limit:
            response.headers[NEXT_AFTER_HEADER] = found[-1].name
        return response

    def _get(self, operator: Operator, kind: Kind, name: str) -> Response:
        item = self._store.get(kind.value, name)
        if not _may_read(operator, kind, item):
            role = operator.role.value
            raise PermissionDeniedError(f"role {role} may not read {kind.value}/{name}")
        return json_response(_shown(item))

    def _change(
        self, request: Request, operator: Operator, kind: Kind, name: str
    ) -> Accepted | Checked:
        expected = _expected_version(request)
        is_dry_run = _is_dry_run(request)
        if expected > 0 or request.method == "DELETE":
            self._check_replaced(operator, kind, name, expected)
        elif is_dry_run:
            self._check_absent(kind, name)
        data = None
        if request.method == "DELETE":
            check_unused(self._store, kind, name)
            if kind is Kind.ASSIGNMENT:
                self._check_move(name, None)
        else:
            data = _object_body(request)
            document = parse_document(kind, data)
            operator.check_document(document)
            self._check_content(document)
            if isinstance(document, Assignment):
                self._check_move(name, document.pool)
        if is_dry_run:
            return Checked(expected)
        return Accepted(self._store.write(kind.value, name, expected, data))

    def _check_absent(self, kind: Kind, name: str) -> None:
        """Do for a dry run what compare-and-swap does for a change."""
        try:
            present = self._store.get(kind.value, name).revision
        except ObjectNotFoundError:
            return
        message = f"{kind.value}/{name} has version {present}, not 0"
        raise VersionConflictError(message, present_version=present)

    def _check_replaced(self, operator: Operator, kind: Kind, name: str, expected: int) -> None:
        """Check the object that a change replaces; compare-and-swap makes sure it stays so."""
        try:
            present = self._store.get(kind.value, name)
        except ObjectNotFoundError as error:
            message = f"{kind.value}/{name} does not exist"
            raise VersionConflictError(message, present_version=0) from error
        if operator.role is not Role.PLATFORM_ADMIN:
            operator.check_document(parse_document(kind, present.document))
        if present.revision != expected:
            message = f"{kind.value}/{name} has version {present.revision}, not {expected}"
            raise VersionConflictError(message, present_version=present.revision)

    def _check_content(self, document: Document) -> None:
        if isinstance(document, Policy):
            check_policy(document.expression)
        check_references(self._store, document)
        if self._weights is not None:
            check_weights(self._weights, document)


def _may_read(operator: Operator, kind: Kind, item: ConfigurationObject) -> bool:
    if operator.reads_all:
        return True
    try:
        return operator.may_read(kind, item.name, parse_document(kind, item.document))
    except InvalidObjectError:
        return False


def _shown(item: ConfigurationObject) -> NamedObject:
    return NamedObject(item.kind, item.name, item.revision, msgspec.Raw(item.document))


def _object_body(request: Request) -> bytes:
    length = request.content_length or 0
    data = b"" if length > MAXIMUM_OBJECT_BYTES else request.get_data()
    if max(length, len(data)) > MAXIMUM_OBJECT_BYTES:
        raise ObjectTooLargeError(
            f"the object has {max(length, len(data))} bytes; the limit is {MAXIMUM_OBJECT_BYTES}"
        )
    return data


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


def _page_limit(request: Request) -> int | None:
    text = request.args.get("limit")
    if text is None:
        return None
    limit = _number(text)
    if limit is None or not 1 <= limit <= MAXIMUM_PAGE_OBJECTS:
        raise InvalidRequestError(f"parameter 'limit' must be from 1 to {MAXIMUM_PAGE_OBJECTS}")
    return limit


def _number(text: str) -> int | None:
    """Return a number written in digits alone, None for anything else."""
    is_number = text.isascii() and text.isdecimal() and len(text) <= _MAXIMUM_DIGITS
    return int(text) if is_number else None


def _is_dry_run(request: Request) -> bool:
    text = request.args.get("dry_run", "false")
    if text not in ("true", "false"):
        raise InvalidRequestError("parameter 'dry_run' must be 'true' or 'false'")
    return text == "true"


def _expected_version(request: Request) -> int:
    version = _number(request.headers.get("If-Match", "0").strip('"'))
    if version is None:
        raise InvalidRequestError("header If-Match must be the object's version, 0 to create")
    return version
