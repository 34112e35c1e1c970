"""Finds which software version began one stream, by the store and by other routers."""

from collections.abc import Callable

import attrs

from martenrun.net.loop import Loop
from martenrun.router.origins.store_probe import OnConfirmed
from martenrun.router.origins.table import StreamOrigin

SEARCH_DELAY_S = 0.1
"""Time after which other routers are asked while the store has not responded, in seconds."""


@attrs.define(eq=False)
class OriginSearch:
    """One search; the first certain result ends it.

    Args:
        find: asks other routers for the origin, and passes it or None on.
        confirm: asks the store whether all software versions are known.
        has_single_version: returns whether a single version is known to have served.
        on_end: called once with the origin, or None, and whether the store has confirmed that the
            known versions are all that have served.
    """

    _loop: Loop
    _find: Callable[[Callable[[StreamOrigin | None], None]], None]
    _confirm: Callable[[OnConfirmed], None]
    _has_single_version: Callable[[], bool]
    _on_end: Callable[[StreamOrigin | None, bool], None]
    _is_over: bool = False
    _is_finding: bool = False
    _is_confirming: bool = False
    _is_unknown: bool = False
    _is_confirmed: bool | None = None

    def start(self, confirms_first: bool) -> None:
        """Start with the store, or with the other routers."""
        if not confirms_first:
            self._ask_routers()
            return
        self._ask_store()
        if not self._is_over and not self._is_finding:
            self._loop.call_later(SEARCH_DELAY_S, self._ask_routers)

    def _ask_store(self) -> None:
        if not self._is_confirming:
            self._is_confirming = True
            self._confirm(self._on_confirmed)

    def _ask_routers(self) -> None:
        if self._is_over or self._is_finding:
            return
        self._is_finding = True
        self._find(self._on_found)

    def _on_confirmed(self, is_confirmed: bool) -> None:
        self._is_confirmed = is_confirmed
        if self._is_unknown or (is_confirmed and self._has_single_version()):
            self._end(None)
        else:
            self._ask_routers()

    def _on_found(self, origin: StreamOrigin | None) -> None:
        self._is_unknown = origin is None
        if origin is not None or not self._has_single_version() or self._is_confirmed is not None:
            self._end(origin)
        else:
            self._ask_store()

    def _end(self, origin: StreamOrigin | None) -> None:
        if not self._is_over:
            self._is_over = True
            self._on_end(origin, bool(self._is_confirmed))
