"""Typed errors: each kind carries a code, whether the request ran, and a remedy.

The HTTP edges turn these into bodies in the shape of the OpenAI API; the command line
prints ``message`` and ``remedy``.  See also: :mod:`martenrun.edge.responses`.
"""

import enum


class Ran(enum.StrEnum):
    """Whether an engine executed the request that an error is about."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class MartenrunError(Exception):
    """Base of all errors that a caller or operator can meet.

    Attributes:
        code: stable machine-readable name of the kind.
        http_status: status used at the HTTP edges.
        ran: whether the request was executed by an engine.
        remedy: what the reader can do about it.
        retry_after_s: when to come back, in seconds, or None if that is no use.
    """

    code = "internal_error"
    http_status = 500
    ran = Ran.NO
    remedy = "Report this with the request id and the node's logs."

    def __init__(
        self,
        message: str,
        *,
        remedy: str | None = None,
        ran: Ran | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy or type(self).remedy
        self.ran = ran or type(self).ran
        self.retry_after_s = retry_after_s


class InvalidRequestError(MartenrunError):
    """The request is malformed; sending it again unchanged fails again."""

    code = "invalid_request"
    http_status = 400
    remedy = "Correct the named field and send the request again."


class BodyTooLargeError(InvalidRequestError):
    """The request body is over the configured limit."""

    code = "body_too_large"
    http_status = 413
    remedy = "Shorten the prompt or raise the edge's body limit."


class InvalidKeyError(MartenrunError):
    """The bearer token is missing, unknown, expired or revoked."""

    code = "invalid_api_key"
    http_status = 401
    remedy = "Send a current key as 'Authorization: Bearer <key>'; ask your operator for one."


class PermissionDeniedError(MartenrunError):
    """The key is known but its role does not allow the operation."""

    code = "permission_denied"
    http_status = 403
    remedy = "Use a key whose role covers this operation."


class UnknownModelError(MartenrunError):
    """No route of the tenant names the model."""

    code = "model_not_found"
    http_status = 404
    remedy = "List the models you may use with GET /v1/models."


class NotFoundError(MartenrunError):
    """The path is not served."""

    code = "not_found"
    http_status = 404
    remedy = "Check the path and the address; docs/PROTOCOL.md lists what is served where."


class MethodNotAllowedError(MartenrunError):
    """The path is served, but not with this method.

    Attributes:
        allowed: the methods that are served.
    """

    code = "method_not_allowed"
    http_status = 405
    remedy = "Use a method that the Allow header names."
    allowed: tuple[str, ...] = ()


class ObjectNotFoundError(MartenrunError):
    """The named configuration object does not exist."""

    code = "object_not_found"
    http_status = 404
    remedy = "List the objects of this kind and check the name."


class VersionConflictError(MartenrunError):
    """A compare-and-swap lost against a newer version."""

    code = "version_conflict"
    http_status = 409
    remedy = "Read the present version, merge your change into it and apply again."

    def __init__(self, message: str, *, present_version: int, remedy: str | None = None) -> None:
        super().__init__(message, remedy=remedy)
        self.present_version = present_version


class InvalidObjectError(MartenrunError):
    """A configuration object does not fit its schema."""

    code = "invalid_object"
    http_status = 422
    remedy = "Correct the fields named in the message and apply again."


class ObjectInUseError(MartenrunError):
    """Other configuration objects refer to the one that is to be deleted."""

    code = "object_in_use"
    http_status = 409
    remedy = "Delete or change the objects that refer to it first."


class ObjectTooLargeError(MartenrunError):
    """A configuration object is over the limit."""

    code = "object_too_large"
    http_status = 413
    remedy = "Split the object, or shorten its lists."


class DuplicateRequestError(MartenrunError):
    """The idempotency key of a non-repeatable request was used before."""

    code = "duplicate_request"
    http_status = 409
    ran = Ran.UNKNOWN
    remedy = "Do not send it again; look up the outcome of the first request by its key."


class CapacityError(MartenrunError):
    """Limits or queues leave no room for the request now."""

    code = "over_capacity"
    http_status = 429
    remedy = "Come back after the time given in Retry-After."


class EdgeFullError(MartenrunError):
    """This process carries as many streams as it can carry well."""

    code = "edge_full"
    http_status = 503
    remedy = "Come back after Retry-After, or use another agent or node."


class StoppingError(MartenrunError):
    """This process is being stopped and takes no new work."""

    code = "stopping"
    http_status = 503
    remedy = "Send it to another agent or node now, or here again after Retry-After."


class NotReadyError(MartenrunError):
    """This process has just started and does not know its configuration or machines yet."""

    code = "not_ready"
    http_status = 503
    remedy = "Send it to another agent or node now, or here again after Retry-After."


class HeadersTooLargeError(InvalidRequestError):
    """The request's headers are over the limit."""

    code = "headers_too_large"
    http_status = 431
    remedy = "Send fewer or shorter headers."


class RequestTimeoutError(MartenrunError):
    """The request was not received whole in time."""

    code = "request_timeout"
    http_status = 408
    remedy = "Send the whole request at once, with the body length that its header names."


class TooManyConnectionsError(MartenrunError):
    """This process holds as many connections as it may."""

    code = "too_many_connections"
    http_status = 503
    remedy = "Use connections again, come back after Retry-After, or use another agent or node."


class NoRunnerError(MartenrunError):
    """No live runner can serve the model."""

    code = "no_runner"
    http_status = 503
    remedy = "Come back after Retry-After; an operator should check the pool's runners."


class NodeUnavailableError(MartenrunError):
    """No node answered the agent's question in time."""

    code = "node_unavailable"
    http_status = 503
    remedy = "Come back after Retry-After; an operator should check that nodes are running."


class StoreUnavailableError(MartenrunError):
    """The platform's object API did not answer."""

    code = "store_unavailable"
    http_status = 503
    remedy = "Try again later; what was accepted before stays in force."


class WatchCompactedError(MartenrunError):
    """A watch asked for changes that the object API no longer keeps."""

    code = "watch_compacted"
    http_status = 410
    remedy = "List all objects and watch from the revision of the list."


class ChangeOutcomeUnknownError(MartenrunError):
    """A change of an object may or may not have taken effect."""

    code = "change_outcome_unknown"
    http_status = 504
    ran = Ran.UNKNOWN
    remedy = "Read the object before trying again; the change may be in force already or soon."


class DeadlineExceededError(MartenrunError):
    """The request cannot meet, or has passed, its deadline."""

    code = "deadline_exceeded"
    http_status = 504
    remedy = "Send it with a later deadline or at a less busy time."


class OutcomeUnknownError(MartenrunError):
    """The request may have been executed, and nobody can tell."""

    code = "outcome_unknown"
    http_status = 502
    ran = Ran.UNKNOWN
    remedy = "Check the outcome at the receiving system before you send it again."


class StreamBrokenError(MartenrunError):
    """A stream ended early and could not be resumed."""

    code = "stream_broken"
    http_status = 502
    ran = Ran.YES
    remedy = "Discard the partial answer and send the request again if it may be repeated."


class EngineError(MartenrunError):
    """The engine refused or failed the request before producing output."""

    code = "engine_error"
    http_status = 502
    ran = Ran.UNKNOWN
    remedy = "Retry if the request may be repeated; an operator should check the engine."


class SettingsError(MartenrunError):
    """A settings file or flag is invalid."""

    code = "invalid_settings"
    remedy = "Run 'martenrun check-settings FILE' and correct every fault it lists."


def error_classes() -> dict[str, type[MartenrunError]]:
    """Return every error class by its code, for decoding errors from the wire."""
    found: dict[str, type[MartenrunError]] = {MartenrunError.code: MartenrunError}
    pending = [MartenrunError]
    while pending:
        for child in pending.pop().__subclasses__():
            found[child.code] = child
            pending.append(child)
    return found
