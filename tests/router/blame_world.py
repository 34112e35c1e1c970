"""Helpers for tests of crash records: scripted probes and runners, requests, a tracker."""

from martenrun.net.http import HttpRequest
from martenrun.router.crash_watch import RunnerKnowledge
from martenrun.router.messages import Admitted, Call, Tenant
from martenrun.router.suspects import Suspects

from .builders import route

PROBE_S = 0.003


class Probes:
    """Answers probes by address: refused, accepted, inconclusive, or no result in time."""

    def __init__(self):
        self.refused = set()
        self.unclear = set()
        self.silent = set()
        self.asked = []

    def __call__(self, loop, address, on_answer):
        self.asked.append(address)
        if address in self.silent:
            loop.call_later(0.4, lambda: on_answer(None))
        else:
            answer = None if address in self.unclear else address in self.refused
            loop.call_later(PROBE_S, lambda: on_answer(answer))


class Runners:
    """A scripted view of the runners."""

    def __init__(self):
        self.unlisted = set()
        self.ended = set()
        self.at = {}
        self.connected = set()

    def knowledge(self):
        return RunnerKnowledge(
            is_listed=lambda state: state.runner.instance not in self.unlisted,
            has_ended=lambda runner: runner.instance in self.ended,
            others_at=lambda address: self.at.get(address, []),
            has_connection=lambda instance: instance in self.connected,
            count=lambda: 8,
        )


def suspects(loop, probes=None, runners=None, tell=lambda _news: None):
    """Return the crash tracker of one router."""
    return Suspects(loop, (runners or Runners()).knowledge(), tell, probes or Probes())


def request(body=b"b", method=b"POST", target=b"/a/x"):
    """Return a caller's request."""
    return HttpRequest(method, target, [], body, 0.0)


def admitted(tenant="t", host="a.example", **changes):
    """Return an admitted request."""
    call = Call(b"r1", host, "/a/x", b"k1", 3.0, None, (), 0, 0)
    who = None if tenant is None else Tenant(tenant, 1, False)
    return Admitted(call, route(**changes), who, "s", 103.0, 102.0)
