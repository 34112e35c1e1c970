"""Bodies and headers of the HTTP edges: errors in OpenAI's shape, typed further."""

import math

import msgspec
from werkzeug.wrappers import Request, Response

from martenrun.edge.error_bodies import ErrorBody, ErrorDetail
from martenrun.errors import MartenrunError, MethodNotAllowedError, VersionConflictError


def error_body(error: MartenrunError) -> bytes:
    """Encode an error as JSON."""
    kind = "invalid_request_error" if error.http_status < 500 else "server_error"
    present = error.present_version if isinstance(error, VersionConflictError) else None
    detail = ErrorDetail(error.message, kind, error.code, error.ran.value, error.remedy, present)
    return msgspec.json.encode(ErrorBody(detail))


def error_response(error: MartenrunError) -> Response:
    """Return the response that tells a typed error."""
    response = Response(error_body(error), status=error.http_status, mimetype="application/json")
    if error.retry_after_s is not None:
        response.headers["Retry-After"] = str(max(1, math.ceil(error.retry_after_s)))
    if isinstance(error, MethodNotAllowedError):
        response.headers["Allow"] = ", ".join(error.allowed)
    return response


def check_method(request: Request, *allowed: str) -> None:
    """Check that a request has one of the methods served at its path.

    Raises:
        MethodNotAllowedError: if it has not.
    """
    if request.method not in allowed:
        error = MethodNotAllowedError(f"method {request.method} is not served at {request.path}")
        error.allowed = allowed
        raise error


def json_response(value: object, status: int = 200) -> Response:
    """Return a JSON response of any value that msgspec encodes."""
    return Response(msgspec.json.encode(value), status=status, mimetype="application/json")
