"""Following engines with a thread and a blocking urllib3 response each, to be weighed.

It has no fallback to polling; a stream that ends is opened again after a pause.
"""

import random
import threading
import time
from collections.abc import Callable

from urllib3.exceptions import HTTPError

from martenrun.backends.engine_stream import PushReader, StreamBrokenError, StreamQuestion
from martenrun.backends.http import connection_pool
from martenrun.events import Event, EventBatch
from martenrun.node.followed_engine import SILENCE_S, FollowedEngine, Target

_HEAD = b"HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"


class ThreadedFeeds:
    """One thread for each engine."""

    def __init__(self, tell: Callable[[Event], None], targets: list[Target]) -> None:
        self._tell = tell
        self._targets = targets
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start a thread for each engine."""
        for target in self._targets:
            threading.Thread(target=self._run, args=(target,), name="stream", daemon=True).start()

    def stop(self) -> None:
        """Let each thread end after its present read."""
        self._stopping.set()

    def _run(self, target: Target) -> None:
        engine = FollowedEngine(target, time.monotonic(), random.Random(target.runner))
        while not self._stopping.is_set():
            engine.opening(time.monotonic())
            try:
                self._follow(engine)
            except (HTTPError, StreamBrokenError):
                self._tell_batch(engine.broke(time.monotonic()))
            self._stopping.wait(engine.next_try - time.monotonic())

    def _follow(self, engine: FollowedEngine) -> None:
        target = engine.target
        pool = connection_pool(target.address, SILENCE_S, size=1)
        path = StreamQuestion(engine.position, target.cache_events).path
        response = pool.request("GET", path, preload_content=False)
        reader = PushReader()
        reader.received(_HEAD)
        try:
            for data in response.read_chunked():
                received = reader.received(data)
                self._tell_batch(engine.pushed(received.pushes, time.monotonic()))
                if self._stopping.is_set():
                    return
        finally:
            response.close()
        raise StreamBrokenError("the engine ended the stream")

    def _tell_batch(self, events: list[Event]) -> None:
        if events:
            self._tell(EventBatch(tuple(events)))
