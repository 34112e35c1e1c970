"""A stand-in engine served within the test process."""

import json
from contextlib import contextmanager

import urllib3
from deployment import free_address

from martenrun.backends.attempt import EngineAttempt
from martenrun.backends.engine import EngineConnections, EngineRequest
from martenrun.backends.stream_progress import StreamProgress
from martenrun.edge.server import HttpServer
from martenrun.standins.engine.application import EngineApplication
from martenrun.standins.engine.model import TimeModel
from martenrun.standins.engine.settings import EngineSettings

FAST = TimeModel(prefill_s_per_block=0.0, decode_s_per_token=0.001)
SLOW = TimeModel(prefill_s_per_block=0.0, decode_s_per_token=0.02)
MODEL = "vine-reader"


@contextmanager
def served(application, threads=32):
    address = free_address()
    server = HttpServer(application, address, threads)
    server.start()
    try:
        yield address
    finally:
        server.stop()


class RunningEngine:
    def __init__(self, address, application):
        self.address = address
        self.application = application
        self.connections = EngineConnections()

    @property
    def incarnation(self):
        return self.application.incarnation

    def set_faults(self, **faults):
        body = json.dumps(faults).encode()
        urllib3.request("POST", f"http://{self.address}/faults", body=body)

    def attempt(self, request_id="r", incarnation=None, weights_version="", **fields):
        body = {"model": MODEL, "prompt": "p", "max_tokens": 8, "stream": True}
        body |= {"request_id": request_id} | fields
        request = EngineRequest(
            "/v1/completions",
            json.dumps(body).encode(),
            self.incarnation if incarnation is None else incarnation,
            body["stream"],
            weights_version=weights_version,
        )
        return EngineAttempt(self.address, request, StreamProgress())

    def run(self, *arguments, **fields):
        """Run an attempt to its end; returns its events and result."""
        attempt = self.attempt(*arguments, **fields)
        events = list(attempt.events())
        attempt.close()
        return events, attempt.result


@contextmanager
def running_engine(**settings):
    application = EngineApplication(EngineSettings(MODEL, **({"times": FAST} | settings)))
    with served(application) as address:
        yield RunningEngine(address, application)


def text_of(events):
    documents = [event.removeprefix(b"data: ") for event in events if b"[DONE]" not in event]
    return "".join(json.loads(document)["choices"][0]["text"] for document in documents)
