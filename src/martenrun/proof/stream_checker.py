"""Checks that resumed streams stay at the software version that began them, and are resumed."""

from collections.abc import Sequence

from martenrun.proof.router_records import PromiseBounds, RouterHistory, StreamRecord, StreamTry

ALLOWED_MIXED = 2
"""Streams of one run that may hold events of two software versions."""

LEAST_RESUMPTIONS = 12
"""Attempts to resume streams from which on their share of success counts."""

LEAST_RESUMED_SHARE = 0.5
"""Least share of resumptions that go on, relative to the share of new streams that begin."""

LEAST_RUNNERS = 2
"""Runners of a stream's software version that must serve for its resumptions to count."""


def streams_keep_their_software(streams: Sequence[StreamRecord]) -> list[str]:
    """Hardly any stream holds events of two software versions."""
    mixed = [stream for stream in streams if len(stream.software()) > 1]
    if len(mixed) <= ALLOWED_MIXED:
        return []
    first = ", ".join(_describe(stream) for stream in mixed[:5])
    return [f"{len(mixed)} of {len(streams)} streams hold events of two versions: {first}"]


def events_are_consecutive(streams: Sequence[StreamRecord]) -> list[str]:
    """No stream misses an event or has one twice."""
    return [
        f"{_describe(stream)}: events {ids}"
        for stream in streams
        if (ids := stream.event_ids()) != list(range(1, len(ids) + 1))
    ]


def resumed_streams_continue(history: RouterHistory, bounds: PromiseBounds) -> list[str]:
    """Resumptions succeed at over half of the share of new streams.

    Counted are attempts at routers in touch, and resumptions while two runners of the stream's
    software version serve.
    """
    resumptions, first_tries = [], []
    for stream in history.streams:
        for item in stream.tries:
            if not _is_in_touch(history, item, bounds.contact_s):
                continue
            if not item.is_resumption:
                first_tries.append(item)
            elif _is_served(history, item, stream.software()):
                resumptions.append(item)
    return compare_shares(resumptions, first_tries)


def compare_shares(resumptions: Sequence[StreamTry], first_tries: Sequence[StreamTry]) -> list[str]:
    """Return a violation if far fewer resumptions than first attempts succeed."""
    if len(resumptions) < LEAST_RESUMPTIONS:
        return []
    resumed, begun = success_share(resumptions), success_share(first_tries)
    if resumed >= LEAST_RESUMED_SHARE * begun:
        return []
    return [f"{resumed:.2f} of {len(resumptions)} resumptions go on, {begun:.2f} of new begin"]


def _is_in_touch(history: RouterHistory, item: StreamTry, contact_s: float) -> bool:
    begin = item.sent_at - contact_s
    is_new = any(life.router == item.router and life.started_at > begin for life in history.lives)
    return not is_new and not any(
        trouble.begin < item.sent_at and trouble.end > begin
        for trouble in history.troubles
        if trouble.place in (item.router, None)
    )


def _is_served(history: RouterHistory, item: StreamTry, software: Sequence[str]) -> bool:
    runners = [
        span
        for span in history.software_spans
        if span.software in software and span.begin < item.sent_at < span.end
    ]
    return len(runners) >= LEAST_RUNNERS


def success_share(tries: Sequence[StreamTry]) -> float:
    """Return the share of attempts that brought an event or the end of the stream."""
    succeeded = sum(bool(item.events) or item.is_whole for item in tries)
    return succeeded / len(tries) if tries else 1.0


def _describe(stream: StreamRecord) -> str:
    ids = "+".join(item.request_id for item in stream.tries if item.events)
    return f"{ids} ({'/'.join(stream.software())})"
