"""Helpers for tests of crash records: scripted probes and runners, requests, a tracker."""

from martenrun.net.http import HttpRequest
from martenrun.router.crashes.detector import RunnerView
from martenrun.router.crashes.tracker import CrashTracker
from martenrun.router.messages import AdmittedRequest, Call, RunnerReport, Tenant

from .builders import route

PROBE_S = 0.003


class Probes:
    """Answers probes by address: refused, accepted, inconclusive, or no result in time.

    Runners whose probes are accepted send reports, unless they are suspended.
    """

    def __init__(self):
        self.refused = set()
        self.inconclusive = set()
        self.silent = set()
        self.suspended = set()
        self.started_at_ms = {}
        self.lost_reports = {}
        self.probed = []

    def lose_reports(self, address, count):
        """Lose the next reports of a runner, whose connections are accepted."""
        self.lost_reports[address] = count

    def __call__(self, loop, address, on_result):
        self.probed.append(address)
        if address in self.silent:
            loop.call_later(0.4, lambda: on_result(None))
        else:
            result = None if address in self.inconclusive else address in self.refused
            loop.call_later(PROBE_S, lambda: on_result(result))

    def report_request(self, loop):
        """Return a function that requests the report of a runner."""

        def request_report(runner, on_report):
            address = runner.runner.address
            started_at_ms = self.started_at_ms.get(address, runner.runner.started_at_ms)
            report = RunnerReport({}, False, 0, started_at_ms=started_at_ms)
            if address in self.refused | self.inconclusive | self.silent | self.suspended:
                report = None
            if self.lost_reports.get(address, 0):
                self.lost_reports[address] -= 1
                report = None
            is_late = address in self.silent | self.suspended
            loop.call_later(0.4 if is_late else PROBE_S, lambda: on_report(report))

        return request_report


class Runners:
    """A scripted view of the runners."""

    def __init__(self):
        self.unlisted = set()
        self.restarted = set()
        self.listed_at = {}
        self.connected = set()
        self.has_data = True
        self.others = []

    def view(self):
        return RunnerView(
            is_listed=lambda state: state.runner.instance not in self.unlisted,
            has_restarted=lambda runner: runner.instance in self.restarted,
            instances_at=lambda address: self.listed_at.get(address, []),
            has_connection=lambda instance: instance in self.connected,
            count=lambda: 8,
            has_other_data=lambda _instance, _since: self.has_data,
            other_addresses=lambda _instance: self.others,
        )


def crash_tracker(loop, probes=None, runners=None, broadcast=lambda _update: None, **options):
    """Return the crash tracker of one router."""
    probes = probes or Probes()
    view = (runners or Runners()).view()
    return CrashTracker(loop, view, broadcast, probes.report_request(loop), probes, **options)


def request(body=b"b", method=b"POST", target=b"/a/x"):
    """Return a caller's request."""
    return HttpRequest(method, target, [], body, 0.0)


def admitted(tenant="t", host="a.example", **changes):
    """Return an admitted request."""
    call = Call(b"r1", host, "/a/x", b"k1", 3.0, None, (), 0, 0)
    tenant_entry = None if tenant is None else Tenant(tenant, 1, False)
    return AdmittedRequest(call, route(**changes), tenant_entry, "s", 103.0, 102.0)
