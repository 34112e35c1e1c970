"""What callers, runners and the operator saw in a run of the soak, and what must hold of it.

Times are seconds of one steady clock, that of the process that drives the run.
"""

import math
from collections.abc import Sequence

import attrs

GREEDY_KIND = "greedy"
"""Kind of the requests of a tenant that asks for more than its rate."""


@attrs.frozen
class CallRecord:
    """One request as its caller saw it; ``status`` None if the answer broke or never came.

    ``router`` is the address it was sent to; ``left_at`` when its caller closed the connection
    without waiting for the answer; ``drain_noticed_at`` when it received a response that announces
    the drain of a runner.
    """

    request_id: str
    kind: str
    key: str
    sent_at: float
    status: int | None
    body: bytes
    router: str = ""
    left_at: float | None = None
    drain_noticed_at: float | None = None


@attrs.frozen
class RunRecord:
    """One run as a runner saw it; ``ended_at`` None where the runner does not tell.

    ``target`` is the path, for whoever traces a violation; ``deadly`` names the body of a request
    that ends each runner which runs it, ``deadly_part`` the part of its prompt that does so;
    ``sent_by`` is the router that sent it there, if known.
    """

    request_id: str
    instance: str
    at: float
    tenant: str | None
    ended_at: float | None = None
    target: str = ""
    deadly: str = ""
    sent_by: str = ""
    deadly_part: str = ""


@attrs.frozen
class OrderRecord:
    """One order as a runner took it."""

    instance: str
    holder: str
    token: int
    at: float


@attrs.frozen
class Revocation:
    """A key that the operator took away, when the store had taken that, and until when."""

    key: str
    at: float
    until: float = math.inf


@attrs.frozen
class Departure:
    """A runner whose entry said that it leaves, went or could not be read, and from when to when.

    ``at`` is when the store had taken that; ``until`` when it had a good entry again.
    """

    instance: str
    at: float
    until: float = math.inf


@attrs.frozen
class Trouble:
    """A span of trouble at a place or on the links to it.

    ``place`` is a router's address, a runner's instance, or None for the store.
    """

    place: str | None
    begin: float
    end: float


@attrs.frozen
class Partition:
    """A span in which a router is cut off from all runners, but not from callers and routers."""

    router: str
    begin: float
    end: float


@attrs.frozen
class RouterLife:
    """One life of a router; infinite where it did not leave or end."""

    router: str
    started_at: float
    leaving_at: float = math.inf
    ended_at: float = math.inf


@attrs.frozen
class DirectoryAnswer:
    """The addresses that a router's directory named to a question asked at ``asked_at``."""

    router: str
    asked_at: float
    addresses: Sequence[str]


@attrs.frozen
class ConnectionTry:
    """A new connection that a caller tried, and whether the router said that it was ready."""

    router: str
    at: float
    is_ready: bool
    was_taken: bool


@attrs.frozen
class CrashRecord:
    """The end of one start of a runner under a request."""

    request_id: str
    at: float


@attrs.frozen
class RateBound:
    """What may reach runners of a tenant in a window, and what a request of it counts for."""

    tenant: str
    request_units: int
    window_s: float
    most_units: float


@attrs.frozen
class LimitArrival:
    """A request that reached a runner advertising a rate limit, whether it was run or refused.

    Attributes:
        born_ms: start time of the runner in milliseconds, which identifies the start.
        at: monotonic arrival time, in seconds.
        requests_per_s: the advertised limit.
    """

    request_id: str
    instance: str
    born_ms: int
    at: float
    requests_per_s: float


@attrs.frozen
class NoticeArrival:
    """A request that reached a runner, by whichever router sent it there.

    Attributes:
        router: address at which the router that sent it serves callers.
        born_ms: start time of the runner in milliseconds, which identifies the start.
        announces_drain: whether the response announces that the runner will stop.
        backoff_s: the backoff that the runner's refusal requested, in seconds, or None.
    """

    request_id: str
    router: str
    instance: str
    born_ms: int
    at: float
    announces_drain: bool = False
    backoff_s: float | None = None


@attrs.frozen
class LimitBound:
    """Bound on the requests that a runner receives while it advertises a rate limit.

    At most ``rate_factor * limit * window_s + extra_requests`` may arrive in any window.

    Attributes:
        window_s: length of the sliding window, in seconds.
        rate_factor: tolerated multiple of the advertised limit.
        extra_requests: requests tolerated in a window regardless of the limit.
        propagation_s: time from the first answer with the limit until the bound applies; also how
            long requests of a router are excluded after a fault or start of it, in seconds.
        reaction_s: time from a router's first such answer until its requests count, in seconds.
    """

    window_s: float
    rate_factor: float
    extra_requests: float
    propagation_s: float
    reaction_s: float


@attrs.frozen
class StreamTry:
    """One attempt of a caller at a stream.

    Attributes:
        status: None if no response arrived.
        events: id and software version of the events that it brought.
        is_whole: whether the stream ended as complete.
        is_resumption: whether it resumed the stream after events of an earlier attempt.
    """

    request_id: str
    router: str
    sent_at: float
    status: int | None
    events: Sequence[tuple[int, str]]
    is_whole: bool
    is_resumption: bool


@attrs.frozen
class StreamRecord:
    """One stream as its caller saw it, over all attempts."""

    tries: Sequence[StreamTry]

    def software(self) -> list[str]:
        """Return the software versions that wrote its events."""
        return sorted({software for item in self.tries for _, software in item.events})

    def event_ids(self) -> list[int]:
        """Return the ids of its events in the order received."""
        return [number for item in self.tries for number, _ in item.events]


@attrs.frozen
class SoftwareSpan:
    """A span in which a runner was listed with a software version."""

    software: str
    begin: float
    end: float = math.inf


@attrs.frozen
class PromiseBounds:
    """Within what the promises hold, in seconds.

    Attributes:
        revoke_s: a request sent later after its key was taken away does not run.
        drain_s: a request reaches no runner later after that began to leave, or its entry went.
        quiet_s: how long a router and the store must be without trouble for bounds to hold.
        named_s: how long a directory may name a router that has ended, or that is leaving.
        closed_s: how long after a caller left its request may begin or go on to run.
        contact_s: how long a ready router may take no connection.
        rates: what tenants with a limit may use.
        limit: bound on the requests to runners that advertise a rate limit; unchecked if None.
    """

    revoke_s: float
    drain_s: float
    quiet_s: float
    named_s: float
    closed_s: float
    contact_s: float
    rates: Sequence[RateBound] = ()
    limit: LimitBound | None = None


@attrs.frozen
class RouterHistory:
    """What one run of the soak left behind.

    Attributes:
        suspensions: spans in which routers were suspended.
        harmed_links: spans in which responses of runners were held back or lost.
    """

    calls: Sequence[CallRecord]
    runs: Sequence[RunRecord]
    orders: Sequence[OrderRecord]
    revocations: Sequence[Revocation]
    departures: Sequence[Departure]
    troubles: Sequence[Trouble]
    events_of_stream: int
    lives: Sequence[RouterLife] = ()
    directory: Sequence[DirectoryAnswer] = ()
    tries: Sequence[ConnectionTry] = ()
    crashes: Sequence[CrashRecord] = ()
    limit_arrivals: Sequence[LimitArrival] = ()
    partitions: Sequence[Partition] = ()
    streams: Sequence[StreamRecord] = ()
    software_spans: Sequence[SoftwareSpan] = ()
    notice_arrivals: Sequence[NoticeArrival] = ()
    suspensions: Sequence[Trouble] = ()
    harmed_links: Sequence[Trouble] = ()

    def was_in_trouble(self, places: Sequence[str | None], begin: float, end: float) -> bool:
        """Whether one of the places was in trouble at any time between; see :class:`Trouble`."""
        return any(
            trouble.begin < end and trouble.end > begin
            for trouble in self.troubles
            if trouble.place in places
        )
