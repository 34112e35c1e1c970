"""The object API's stand-in served on loopback, for tests."""

import msgspec
import urllib3

from martenrun.backends.object_api import ObjectApi
from martenrun.edge.server import HttpServer
from martenrun.standins.objects import Faults, ObjectApiApplication


class Store:
    """The stand-in served on loopback, and an adapter of it."""

    def __init__(self):
        self.application = ObjectApiApplication()
        self._server = HttpServer(self.application, "127.0.0.1:0", threads=8)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.port}"
        self.api = ObjectApi(self.address)

    def set_faults(self, **faults):
        body = msgspec.json.encode(Faults(**faults))
        urllib3.request("POST", f"http://{self.address}/faults", body=body, timeout=5.0)

    def stop(self):
        self._server.stop()
