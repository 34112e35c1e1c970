"""The era of the platform's store.

The store may return from an older copy.  It then begins a new era: changes made after the copy are
lost and their revisions are assigned again.  Every response names the era, so that revisions are
compared only within one.
"""

from collections.abc import Callable

from martenrun.net.http import Headers, HttpResponse
from martenrun.router.log import log_warning
from martenrun.router.messages import HttpCall
from martenrun.router.store.client import HttpClient

UNKNOWN_ERA = 0
"""Era before any response has named one."""


class StoreEras:
    """The newest era of the store that this router knows."""

    def __init__(self) -> None:
        self.current = UNKNOWN_ERA

    def observe(self, era: int, source: str) -> None:
        """Record an era; ``source`` says where it was learned, for the log."""
        if era <= self.current:
            return
        before, self.current = self.current, era
        if before != UNKNOWN_ERA:
            log_warning("store_era_changed", before=before, era=era, source=source)


class StoreClient:
    """Client of the store that records the era named in each response.

    Args:
        read_era: returns the era that a response's headers name, or None.
    """

    def __init__(
        self, http: HttpClient, read_era: Callable[[Headers], int | None], eras: StoreEras
    ) -> None:
        self._http = http
        self._read_era = read_era
        self.eras = eras

    def call(
        self,
        call: HttpCall,
        timeout_s: float,
        on_response: Callable[[HttpResponse | None], None],
        on_part: Callable[[], None] = lambda: None,
        max_response_s: float | None = None,
    ) -> None:
        """Make a call and pass its response, or None, on; see :class:`HttpClient`."""

        def handle_response(response: HttpResponse | None) -> None:
            if response is not None:
                era = self._read_era(response.headers)
                if era is not None:
                    self.eras.observe(era, f"store:{response.status}")
            on_response(response)

        self._http.call(call, timeout_s, handle_response, on_part, max_response_s)
