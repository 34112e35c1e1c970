"""Many stand-in engines in one process, on addresses of their own, for ``bench feeds``.

``POST /close`` to one of them closes its listener and connections at once, as a kill does.
"""

import threading
from typing import Any

import click

from martenrun.cli.run import run_until_signal
from martenrun.edge.server import HttpServer
from martenrun.standins.engine.application import EngineApplication
from martenrun.standins.engine.settings import EngineSettings

THREADS = 8
"""Most requests that one engine serves at a time."""

CLOSE_PATH = "/close"


def engine_address(first_port: int, index: int) -> str:
    """Return the address of the engine of an index."""
    return f"127.0.0.1:{first_port + index}"


class _ClosableEngine:
    """Serves an engine until it is asked to close."""

    def __init__(self, address: str) -> None:
        self._application = EngineApplication(EngineSettings("feeds", slots=THREADS))
        self.server = HttpServer(self, address, THREADS)

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Any:
        if environ.get("PATH_INFO") == CLOSE_PATH:
            # On another thread: the server waits for the thread that serves this.
            threading.Thread(target=self.server.stop, name="close", daemon=True).start()
            start_response("200 OK", [("Content-Length", "0")])
            return [b""]
        return self._application(environ, start_response)


class FeedEngines:
    """The engines of this process."""

    def __init__(self, engines: int, first_port: int) -> None:
        self._engines = [
            _ClosableEngine(engine_address(first_port, index)) for index in range(engines)
        ]

    def start(self) -> None:
        """Start every engine."""
        for engine in self._engines:
            engine.server.start()

    def stop(self) -> None:
        """Stop every engine."""
        for engine in self._engines:
            engine.server.stop()


@click.command("feed-engines")
@click.option("--engines", default=32, show_default=True, type=click.IntRange(1, 512))
@click.option("--first-port", required=True, type=click.IntRange(1024, 65_000))
def feed_engines(engines: int, first_port: int) -> None:
    """Hold stand-in engines on consecutive ports until a signal."""
    run_until_signal(FeedEngines(engines, first_port), "feed-engines")
