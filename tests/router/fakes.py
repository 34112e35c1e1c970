"""An event loop in virtual time, a store in memory and fake peers."""

import heapq
import itertools

from martenrun.net.http import HttpResponse
from martenrun.net.periodic import call_safely
from martenrun.platform import PLATFORM_ADAPTER
from martenrun.platform.objects import _DECODE, _ENCODE
from martenrun.router.messages import StorePosition


class FakeTimer:
    def __init__(self, call):
        self.call = call
        self.is_cancelled = False

    def cancel(self):
        self.is_cancelled = True


class FakeLoop:
    """Runs timers in virtual time."""

    def __init__(self):
        self.time = 100.0
        self._queue = []
        self._order = itertools.count()

    def now(self):
        return self.time

    def call_later(self, delay_s, call):
        timer = FakeTimer(call)
        heapq.heappush(self._queue, (self.time + delay_s, next(self._order), timer))
        return timer

    def run_until(self, until):
        while self._queue and self._queue[0][0] <= until:
            due_at, _, timer = heapq.heappop(self._queue)
            self.time = max(self.time, due_at)
            if not timer.is_cancelled:
                timer.call()
        self.time = until


class TolerantLoop(FakeLoop):
    """Goes on after a call that raised, like the real loop."""

    def call_later(self, delay_s, call):
        return super().call_later(delay_s, lambda: call_safely("loop", call))


class FakeStore:
    """Objects with revisions; responds after a short delay, or not at all while ``is_silent``."""

    def __init__(self, loop):
        self.loop = loop
        self.objects = {}
        self.revision = 0
        self.era = 0
        self.is_silent = False
        self.loses_answers = False
        self.writes = []

    def call(self, call, timeout_s, on_response):
        if self.is_silent:
            self.loop.call_later(timeout_s, lambda: on_response(None))
            return
        response = self._serve(call)
        if self.loses_answers:
            self.loop.call_later(timeout_s, lambda: on_response(None))
        else:
            self.loop.call_later(0.004, lambda: on_response(response))

    def _serve(self, call):
        path = call.target.decode().partition("?")[0]
        name = path.rsplit("/", 1)[-1]
        if call.method == b"GET":
            return self._respond(200, name) if name in self.objects else HttpResponse(404, [], b"")
        body = _DECODE(call.body)
        name = body["metadata"]["name"]
        known = self.objects.get(name)
        if call.method == b"POST" and known is not None:
            return self._respond(409, name)
        if call.method == b"PUT" and known["metadata"]["revision"] != body["metadata"]["revision"]:
            return self._respond(409, name)
        if known is None or known["spec"] != body["spec"]:
            self.revision += 1
            metadata = {"name": name, "revision": self.revision}
            self.objects[name] = {"metadata": metadata, "spec": body["spec"]}
            self.writes.append((self.loop.now(), body["spec"]))
        return self._respond(200, name)

    def _respond(self, status, name):
        return HttpResponse(status, [], _ENCODE(self.objects[name]))


def read_lease(store, name):
    """Return the record of a lease object."""
    return PLATFORM_ADAPTER.read_lease(
        PLATFORM_ADAPTER.read_stored(_ENCODE(store.objects[name]), 0)
    )


class FakePeers:
    """The other routers as a list of records; keeps what is sent."""

    def __init__(self, own):
        self.own = own
        self.records = []
        self.load_updates = []
        self.zone_loads = []
        self.time = 0.0
        self.is_large = False

    def live(self):
        return self.records

    def now(self):
        return self.time

    def sends_loads_to_own_zone_only(self):
        return self.is_large

    def send_zone_loads(self, addresses, loads):
        self.zone_loads.append((addresses, loads))

    def broadcast_load(self, instance, load):
        self.load_updates.append((instance, load))


def at(revision, era=0):
    """Return a position of the store, of a store that names no era unless one is given."""
    return StorePosition(era, revision)
