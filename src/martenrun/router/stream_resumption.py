"""Keeps resumed streams at the software version that began them.

A caller that resumes a stream names the attempt that began it, at any router.  The router that sent
that attempt to a runner has recorded the runner's software version (:mod:`.origins`).  A stream
that nobody knows goes on only if one version alone has served lately, and the store confirms this
after the caller has asked (:mod:`.origins.version_check`).
"""

from collections.abc import Callable, Collection

import attrs

from martenrun.net.loop import Loop
from martenrun.router.log import log_event, log_warning
from martenrun.router.messages import AdmittedRequest, RouteKind
from martenrun.router.origins.exchange import OriginExchange
from martenrun.router.origins.search import OriginSearch
from martenrun.router.origins.store_probe import OnConfirmed
from martenrun.router.origins.table import StreamOrigin, stream_key
from martenrun.router.software_history import RETENTION_S, SoftwareHistory

EXPIRY_MARGIN_S = 1.0
"""How much longer than its caller waits a stream may be resumed, in seconds."""

MAX_LOGGED_AGE_MS = 600_000
"""Age of the list of runners above which its exact value is not logged, in milliseconds."""

OnResolved = Callable[[AdmittedRequest | None], None]
"""Called once with the request, or with None if several versions may have begun its stream."""


class StreamResumption:
    """Records which software version began each stream, and finds it for resumed streams.

    Args:
        may_be_mixed: returns whether runners of several software versions of a service may have
            served lately.
        count: counts how the software version of a resumed stream was found.
        knows_past: returns whether all versions that have served lately are known.
        list_age_s: returns the age of the list of runners in seconds.
        confirm_versions: finds out whether all versions that are listed now are known, and passes
            the result on.
    """

    def __init__(
        self,
        loop: Loop,
        history: SoftwareHistory,
        origins: OriginExchange,
        may_be_mixed: Callable[[str], bool],
        count: Callable[[str], None] = lambda _outcome: None,
        knows_past: Callable[[], bool] = lambda: True,
        list_age_s: Callable[[], float] = lambda: 0.0,
        confirm_versions: Callable[[OnConfirmed], None] = lambda on_confirmed: on_confirmed(True),
    ) -> None:
        self._loop = loop
        self._history = history
        self._origins = origins
        self._may_be_mixed = may_be_mixed
        self._count = count
        self._knows_past = knows_past
        self._list_age_s = list_age_s
        self._confirm_versions = confirm_versions

    def record_sent(self, admitted: AdmittedRequest, software: str, received_at: float) -> None:
        """Record the software version of the runner that a stream is sent to."""
        if not _is_resumable(admitted):
            return
        now = self._loop.now()
        expires_at = min(admitted.deadline_at + EXPIRY_MARGIN_S, now + RETENTION_S)
        sent_after_ms = max(0, round((now - received_at) * 1000))
        origin = StreamOrigin(admitted.service, software, sent_after_ms, expires_at)
        key = _key(admitted, admitted.call.request_id)
        self._origins.record(key, origin, must_share=len(admitted.route.split) > 1)

    def record_forwarded(self, admitted: AdmittedRequest) -> None:
        """Record that a stream without events is sent on by another router, to any runner."""
        if _is_resumable(admitted):
            self._origins.disown(_key(admitted, admitted.call.request_id))

    def resolve(self, admitted: AdmittedRequest, on_resolved: OnResolved) -> None:
        """Find the service and software version that a request needs.

        Args:
            on_resolved: receives the request with its service and version.
        """
        call = admitted.call
        if not _is_resumable(admitted) or call.last_event_id <= 0:
            on_resolved(admitted)
            return
        if call.forwarded is not None and call.forwarded.software is not None:
            on_resolved(attrs.evolve(admitted, software=call.forwarded.software))
            return
        services = _services(admitted)
        origin = self._origins.lookup(_stream_of(admitted))
        if origin is not None:
            self._finish(admitted, origin, False, on_resolved)
            return
        search = OriginSearch(
            self._loop,
            lambda on_found: self._origins.find(_stream_of(admitted), on_found),
            self._confirm_versions,
            lambda: self._has_single_version(services),
            lambda origin, is_confirmed: self._finish(admitted, origin, is_confirmed, on_resolved),
        )
        is_sole = len(services) == 1 and not any(map(self._may_be_mixed, services))
        search.start(confirms_first=is_sole)

    def _finish(
        self,
        admitted: AdmittedRequest,
        origin: StreamOrigin | None,
        is_confirmed: bool,
        on_resolved: OnResolved,
    ) -> None:
        services = _services(admitted)
        resolved = None
        if origin is not None and origin.service in services:
            outcome = "known"
            resolved = attrs.evolve(admitted, service=origin.service, software=origin.software)
        elif origin is None and is_confirmed and self._has_single_version(services):
            outcome = "only_version"
            (software,) = self._history.versions(admitted.service)
            resolved = attrs.evolve(admitted, software=software)
        else:
            outcome = "unknown" if origin is None else "other_service"
        self._count(outcome)
        call = admitted.call
        log = log_event if resolved is not None else log_warning
        log(
            "stream_resumed",
            request=call.request_id.decode("latin-1"),
            resumed=None if call.resumed_id is None else call.resumed_id.decode("latin-1"),
            last_event=call.last_event_id,
            origin=outcome,
            software=None if origin is None else origin.software,
            is_confirmed=is_confirmed,
            versions=len(self._history.versions(admitted.service)),
            list_age_ms=min(MAX_LOGGED_AGE_MS, round(self._list_age_s() * 1000)),
        )
        on_resolved(resolved)

    def _has_single_version(self, services: Collection[str]) -> bool:
        """Return whether one version of one service may have begun the stream, as far as known.

        Which of several services began a stream is only known from its origin.
        """
        return (
            self._knows_past()
            and len(services) == 1
            and all(len(self._history.versions(name)) == 1 for name in services)
        )


def _is_resumable(admitted: AdmittedRequest) -> bool:
    return admitted.route.kind is RouteKind.STREAM and admitted.route.is_resumable


def _services(admitted: AdmittedRequest) -> set[str]:
    return {part.service for part in admitted.route.split}


def _stream_of(admitted: AdmittedRequest) -> int:
    """Return the key of the stream that a request resumes."""
    call = admitted.call
    return _key(admitted, call.resumed_id or call.request_id)


def _key(admitted: AdmittedRequest, request_id: bytes) -> int:
    return stream_key(None if admitted.tenant is None else admitted.tenant.name, request_id)
