"""Messages that routers exchange about the origins of streams, sent as datagrams."""

import msgspec

from martenrun.net.wire_types import Milliseconds


class OriginRecord(msgspec.Struct, array_like=True, frozen=True):
    """The runner's service and software version to which a stream was sent.

    Attributes:
        key: identifies the stream, see :func:`martenrun.router.origins.table.stream_key`.
        sent_after_ms: time from the receipt of the request until it was sent to that runner, in
            milliseconds; the record with the highest one takes precedence.
        left_ms: time until the stream can no longer be resumed, in milliseconds.
    """

    key: int
    service: str
    software: str
    sent_after_ms: Milliseconds
    left_ms: Milliseconds


class OriginUpdate(msgspec.Struct, array_like=True, tag="origins"):
    """Origins of streams, for routers that keep them."""

    records: list[OriginRecord]


class OriginQuery(msgspec.Struct, array_like=True, frozen=True, tag="origin_wanted"):
    """Asks for the origin of one stream.

    Attributes:
        requester: internal address that the response is sent to.
        number: identifies the query at its requester.
    """

    requester: str
    number: int
    key: int


class OriginResponse(msgspec.Struct, array_like=True, frozen=True, tag="origin"):
    """Responds to a query; without a record if the sender does not know the stream."""

    number: int
    sender: str
    record: OriginRecord | None = None


class RunnerRestart(msgspec.Struct, array_like=True, frozen=True, tag="restarted"):
    """A runner has restarted, with unknown software until its entry is current.

    Attributes:
        software: the version as which it counts until then.
    """

    service: str
    software: str


class VersionsQuery(msgspec.Struct, array_like=True, frozen=True, tag="versions_wanted"):
    """Asks which software versions serve, by a response of the store newer than the query.

    Attributes:
        requester: internal address that the response is sent to.
        number: identifies the query at its requester.
    """

    requester: str
    number: int


class VersionsResponse(msgspec.Struct, array_like=True, frozen=True, tag="versions"):
    """Responds to a query.

    Attributes:
        versions: for each service its versions as (version, milliseconds since a runner was last
            listed); None if the sender could not confirm them.
    """

    number: int
    sender: str
    versions: dict[str, list[tuple[str, Milliseconds]]] | None = None


OriginMessage = OriginUpdate | OriginQuery | OriginResponse

VersionMessage = VersionsQuery | VersionsResponse

SoftwareMessage = OriginMessage | RunnerRestart | VersionMessage
