"""What the status and header fields of a runner's response say, decoded by the adapter."""

import attrs


@attrs.frozen
class AdvertisedLimit:
    """A runner's rate limit, as advertised in a response; all routers together share it.

    Attributes:
        requests_per_s: 0 or more; None if the advertised value is not a valid rate.
        text: the advertised value, truncated for logs.
    """

    requests_per_s: float | None
    text: str


@attrs.frozen
class RequestedBackoff:
    """The time for which a runner that refused a request asks its sender for no further ones.

    Attributes:
        seconds: 0 or more; None if the advertised value is not a valid time.
        text: the advertised value, truncated for logs.
    """

    seconds: float | None
    text: str


@attrs.frozen
class ResponseMetadata:
    """Metadata of a runner's response, parsed from its status and headers.

    Attributes:
        is_signed: whether the response carries the runner's stamp.
        is_not_executed: whether the runner states that it has not run the request.
        is_unconfirmed_refusal: whether the status means that the request has not run, although the
            runner does not state it.
        is_encoded: whether the body has a content encoding.
        rate_limit: the limit that the response advertises; None if it advertises none.
        tolerated_rejections_per_s: rejections per second on more of which the runner crashes, as
            the response advertises; None if it advertises none, or no valid number.
        is_draining: whether the runner announces that it will stop.
        backoff: the backoff that the runner requests; None if it requests none.
    """

    is_signed: bool
    is_not_executed: bool
    is_encoded: bool
    is_unconfirmed_refusal: bool = False
    rate_limit: AdvertisedLimit | None = None
    tolerated_rejections_per_s: float | None = None
    is_draining: bool = False
    backoff: RequestedBackoff | None = None
