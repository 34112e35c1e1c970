"""Keeps resumed streams at the software version that began them.

A caller that resumes a stream names the attempt that began it, at any router.  The router that sent
that attempt to a runner has recorded the runner's software version (:mod:`.origins`).
"""

from collections.abc import Callable, Collection

import attrs

from martenrun.net.loop import Loop
from martenrun.router.log import log_event, log_warning
from martenrun.router.messages import AdmittedRequest, RouteKind
from martenrun.router.origins.exchange import OriginExchange
from martenrun.router.origins.table import StreamOrigin, stream_key
from martenrun.router.software_history import RETENTION_S, SoftwareHistory

EXPIRY_MARGIN_S = 1.0
"""How much longer than its caller waits a stream may be resumed, in seconds."""

MAX_LOGGED_AGE_MS = 600_000
"""Age of the list of runners above which its exact value is not logged, in milliseconds."""


class StreamResumption:
    """Records which software version began each stream, and finds it for resumed streams.

    Args:
        may_be_mixed: returns whether runners of several software versions of a service may have
            served lately.
        count: counts how the software version of a resumed stream was found.
        knows_past: returns whether all versions that have served lately are known.
        list_age_s: returns the age of the list of runners in seconds.
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
    ) -> None:
        self._loop = loop
        self._history = history
        self._origins = origins
        self._may_be_mixed = may_be_mixed
        self._count = count
        self._knows_past = knows_past
        self._list_age_s = list_age_s

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

    def resolve(
        self, admitted: AdmittedRequest, on_resolved: Callable[[AdmittedRequest | None], None]
    ) -> None:
        """Find the service and software version that a request needs.

        Args:
            on_resolved: called once with the request, or with None if it resumes a stream that
                several versions may have begun.
        """
        call = admitted.call
        if not _is_resumable(admitted) or call.last_event_id <= 0:
            on_resolved(admitted)
            return
        if call.forwarded is not None and call.forwarded.software is not None:
            on_resolved(attrs.evolve(admitted, software=call.forwarded.software))
            return
        services = [part.service for part in admitted.route.split]
        if len(services) == 1 and not self._may_be_mixed(services[0]):
            self._finish(admitted, None, on_resolved)
            return
        key = _key(admitted, call.resumed_id or call.request_id)
        self._origins.find(key, lambda origin: self._finish(admitted, origin, on_resolved))

    def _finish(
        self,
        admitted: AdmittedRequest,
        origin: StreamOrigin | None,
        on_resolved: Callable[[AdmittedRequest | None], None],
    ) -> None:
        services = {part.service for part in admitted.route.split}
        resolved = None
        if origin is not None and origin.service in services:
            outcome = "known"
            resolved = attrs.evolve(admitted, service=origin.service, software=origin.software)
        elif origin is None and self._has_single_version(services):
            outcome = "only_version"
            versions = self._history.versions(admitted.service)
            resolved = attrs.evolve(admitted, software=versions[0] if versions else None)
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
            versions=len(self._history.versions(admitted.service)),
            list_age_ms=min(MAX_LOGGED_AGE_MS, round(self._list_age_s() * 1000)),
        )
        on_resolved(resolved)

    def _has_single_version(self, services: Collection[str]) -> bool:
        """Return whether it is certain that one version alone has served each service lately."""
        return self._knows_past() and all(
            len(self._history.versions(name)) <= 1 for name in services
        )


def _is_resumable(admitted: AdmittedRequest) -> bool:
    return admitted.route.kind is RouteKind.STREAM and admitted.route.is_resumable


def _key(admitted: AdmittedRequest, request_id: bytes) -> int:
    return stream_key(None if admitted.tenant is None else admitted.tenant.name, request_id)
