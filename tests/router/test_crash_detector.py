"""Tests that only a refused connection or a later instance proves a runner's crash."""

import pytest

from martenrun.net.loop import Loop
from martenrun.router.crashes import detector
from martenrun.router.crashes.detector import (
    CONFIRMATION_DELAY_S,
    INVESTIGATION_S,
    PROBE_TIMEOUT_S,
    RETRY_DELAYS_S,
    ConnectionProbe,
    CrashDetector,
)
from martenrun.router.crashes.features import RequestFeatures, part_key

from .builders import state
from .crash_world import Probes, Runners
from .fakes import FakeLoop
from .loopback import RunnerPeer, free_address, serve_until

FINGERPRINT = RequestFeatures(b"run 1")


class Harness:
    def __init__(self):
        self.loop = FakeLoop()
        self.probes = Probes()
        self.runners = Runners()
        self.crashes = []
        self.detector = CrashDetector(
            self.loop,
            self.runners.view(),
            lambda instance, fingerprints: self.crashes.append((instance, list(fingerprints))),
            self.probes.report_request(self.loop),
            self.probes,
        )

    def run(self, seconds):
        self.loop.run_until(self.loop.time + seconds)


@pytest.fixture
def harness():
    return Harness()


def test_refused_connection_proves_the_crash_for_all_requests(harness):
    harness.probes.refused.add("127.0.0.1:1")
    for fingerprint in (FINGERPRINT, RequestFeatures(b"run 2")):
        harness.detector.handle_disconnect(state("i-1"), fingerprint)
    harness.run(0.01)
    assert harness.crashes == [("i-1", [FINGERPRINT, RequestFeatures(b"run 2")])]
    assert len(harness.probes.probed) == 1


def test_disconnect_after_a_proved_crash_is_recorded_at_once(harness):
    harness.probes.refused.add("127.0.0.1:1")
    harness.detector.handle_disconnect(state("i-1"), FINGERPRINT)
    harness.run(0.01)
    harness.detector.handle_disconnect(state("i-1"), RequestFeatures(b"run 2"))
    assert harness.crashes[1:] == [("i-1", [RequestFeatures(b"run 2")])]


def test_connection_reset_by_a_live_runner_records_no_crash(harness):
    harness.detector.handle_disconnect(state("i-1"), FINGERPRINT)
    harness.run(INVESTIGATION_S)
    harness.detector.check_replaced()
    assert harness.crashes == []


def test_exit_of_a_draining_or_unlisted_runner_is_no_crash(harness):
    harness.probes.refused.add("127.0.0.1:1")
    harness.detector.handle_disconnect(state("i-1", is_draining=True), FINGERPRINT)
    harness.runners.unlisted.add("i-2")
    harness.detector.handle_disconnect(state("i-2"), FINGERPRINT)
    harness.run(1.0)
    assert harness.crashes == [] and harness.probes.probed == []


# Guards against crashes that no request was blamed for because the next instance was listed before
# the connection broke.
def test_disconnect_after_a_later_instance_is_listed_counts_as_crash(harness):
    harness.runners.unlisted.add("i-1")
    harness.runners.restarted.add("i-1")
    harness.detector.handle_disconnect(state("i-1"), FINGERPRINT)
    harness.run(1.0)
    assert harness.crashes == [("i-1", [FINGERPRINT])] and harness.probes.probed == []


def test_refusal_is_inconclusive_while_a_kept_alive_connection_is_open(harness):
    harness.probes.refused.add("127.0.0.1:1")
    harness.runners.connected.add("i-1")
    harness.detector.handle_disconnect(state("i-1"), FINGERPRINT)
    harness.run(1.0)
    assert harness.crashes == []


@pytest.mark.parametrize("proof", ["the same id", "another id"])
def test_later_instance_proves_the_crash_without_a_probe_result(harness, proof):
    harness.probes.silent.add("127.0.0.1:1")
    harness.detector.handle_disconnect(state("i-1"), FINGERPRINT)
    harness.run(PROBE_TIMEOUT_S + 0.1)
    harness.detector.check_replaced()
    assert harness.crashes == []
    if proof == "the same id":
        harness.runners.restarted.add("i-1")
    else:
        harness.runners.listed_at["127.0.0.1:1"] = ["i-2"]
    harness.detector.check_replaced()
    harness.detector.check_replaced()
    assert harness.crashes == [("i-1", [FINGERPRINT])]


# Guards against crashes detected seconds late or never because a process that is exiting, or a
# proxy before it, accepts a connection and closes it at once.
def test_inconclusive_probe_is_repeated_until_the_crash_is_proved(harness):
    harness.probes.inconclusive.add("127.0.0.1:1")
    harness.detector.handle_disconnect(state("i-1"), FINGERPRINT)
    harness.run(0.02)
    assert harness.crashes == [] and harness.detector.is_investigating()
    harness.probes.refused.add("127.0.0.1:1")
    harness.probes.inconclusive.clear()
    harness.run(0.1)
    assert harness.crashes == [("i-1", [FINGERPRINT])]
    assert not harness.detector.is_investigating()


# Guards against undetected crashes: a refusal counted as a sign of life while the reset of a
# kept-alive connection had not arrived.
def test_refusal_counts_once_no_kept_alive_connection_is_open(harness):
    harness.probes.refused.add("127.0.0.1:1")
    harness.runners.connected.add("i-1")
    harness.detector.handle_disconnect(state("i-1"), FINGERPRINT)
    harness.run(0.02)
    harness.runners.connected.clear()
    harness.run(0.1)
    assert harness.crashes == [("i-1", [FINGERPRINT])]


# Guards against undetected crashes: one accepted probe counted as a sign of life although a proxy
# had not noticed the crash yet.
def test_runner_counts_as_alive_after_two_accepted_probes(harness):
    harness.detector.handle_disconnect(state("i-1"), FINGERPRINT)
    harness.run(0.05)
    assert harness.crashes == []
    harness.probes.refused.add("127.0.0.1:1")
    harness.run(CONFIRMATION_DELAY_S)
    assert harness.crashes == [("i-1", [FINGERPRINT])]


def test_acceptance_after_an_inconclusive_probe_waits_for_a_later_instance(harness):
    harness.probes.inconclusive.add("127.0.0.1:1")
    harness.detector.handle_disconnect(state("i-1"), FINGERPRINT)
    harness.run(0.02)
    harness.probes.inconclusive.clear()
    harness.run(0.5)
    assert harness.crashes == [] and not harness.detector.is_investigating()
    harness.runners.restarted.add("i-1")
    harness.detector.check_replaced()
    assert harness.crashes == [("i-1", [FINGERPRINT])]


def test_inconclusive_probes_are_limited(harness):
    harness.probes.inconclusive.add("127.0.0.1:1")
    harness.detector.handle_disconnect(state("i-1"), FINGERPRINT)
    harness.run(INVESTIGATION_S)
    assert len(harness.probes.probed) == 1 + len(RETRY_DELAYS_S)
    assert harness.crashes == [] and not harness.detector.is_investigating()


def test_disconnect_after_an_expired_investigation_starts_a_new_one(harness):
    harness.probes.inconclusive.add("127.0.0.1:1")
    harness.detector.handle_disconnect(state("i-1"), FINGERPRINT)
    harness.run(INVESTIGATION_S + 0.1)
    harness.detector.handle_disconnect(state("i-1"), RequestFeatures(b"run 2"))
    harness.probes.inconclusive.clear()
    harness.probes.refused.add("127.0.0.1:1")
    harness.run(0.2)
    assert harness.crashes == [("i-1", [RequestFeatures(b"run 2")])]


def test_successive_disconnects_do_not_confirm_an_accepted_probe(harness):
    for _ in range(3):
        harness.detector.handle_disconnect(state("i-1"), FINGERPRINT)
        harness.run(0.02)
    assert len(harness.probes.probed) == 1
    harness.probes.refused.add("127.0.0.1:1")
    harness.run(CONFIRMATION_DELAY_S)
    assert harness.crashes == [("i-1", [FINGERPRINT] * 3)]


def test_late_proof_records_no_crash(harness):
    harness.probes.silent.add("127.0.0.1:1")
    harness.detector.handle_disconnect(state("i-1"), FINGERPRINT)
    harness.run(INVESTIGATION_S + 0.1)
    harness.runners.restarted.add("i-1")
    harness.detector.check_replaced()
    assert harness.crashes == []


def test_callbacks_run_once_an_investigation_is_resolved(harness):
    calls = []
    harness.detector.call_when_resolved("i-1", lambda: calls.append("not investigated"))
    harness.probes.refused.add("127.0.0.1:1")
    harness.detector.handle_disconnect(state("i-1"), FINGERPRINT)
    harness.detector.call_when_resolved("i-1", lambda: calls.append(len(harness.crashes)))
    assert calls == ["not investigated"]
    harness.run(0.01)
    assert calls == ["not investigated", 1]
    harness.probes.silent.add("127.0.0.1:2")
    harness.detector.handle_disconnect(state("i-2", address="127.0.0.1:2"), FINGERPRINT)
    harness.detector.call_when_resolved("i-2", lambda: calls.append("no result"))
    harness.run(PROBE_TIMEOUT_S + 0.1)
    assert calls[2:] == ["no result"]


def test_probe_distinguishes_a_listener_from_a_closed_port():
    loop = Loop()
    results = {}
    peer = RunnerPeer()
    ConnectionProbe(loop, peer.address, lambda refused: results.setdefault("listens", refused))
    ConnectionProbe(loop, free_address(), lambda refused: results.setdefault("dead", refused))
    serve_until(loop, lambda: len(results) == 2)
    peer.close()
    assert results == {"listens": False, "dead": True}


def test_connection_closed_at_once_is_inconclusive():
    """A proxy accepts it for a crashed runner, or the runner has too many connections."""
    loop = Loop()
    results = []
    peer = RunnerPeer()
    ConnectionProbe(loop, peer.address, results.append)

    def closed():
        for connection in peer.accept():
            connection.close()
        return results

    serve_until(loop, closed)
    peer.close()
    assert results == [None]


# Guards against requests blamed for crashes by a router that is cut off from all runners.
def test_refusals_prove_no_crash_if_no_other_runner_can_be_reached(harness):
    harness.runners.has_data = False
    harness.runners.others = ["127.0.0.1:2", "127.0.0.1:3"]
    harness.probes.refused |= {"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
    harness.detector.handle_disconnect(state("i-1"), FINGERPRINT)
    harness.run(INVESTIGATION_S)
    assert harness.crashes == []


def test_a_refusal_proves_a_crash_once_another_runner_accepts_a_connection(harness):
    harness.runners.has_data = False
    harness.runners.others = ["127.0.0.1:2"]
    harness.probes.refused |= {"127.0.0.1:1", "127.0.0.1:2"}
    harness.detector.handle_disconnect(state("i-1"), FINGERPRINT)
    resolved = []
    harness.detector.call_when_resolved("i-1", lambda: resolved.append(harness.loop.time))
    harness.run(0.02)
    assert harness.crashes == [] and len(resolved) == 1
    harness.probes.refused.discard("127.0.0.1:2")
    harness.run(0.1)
    assert harness.crashes == [("i-1", [FINGERPRINT])]


def test_a_refusal_is_checked_against_another_runner_before_the_request_continues(harness):
    harness.runners.has_data = False
    harness.runners.others = ["127.0.0.1:2"]
    harness.probes.refused.add("127.0.0.1:1")
    harness.detector.handle_disconnect(state("i-1"), FINGERPRINT)
    crashes_when_resolved = []
    harness.detector.call_when_resolved(
        "i-1", lambda: crashes_when_resolved.append(len(harness.crashes))
    )
    harness.run(0.02)
    assert crashes_when_resolved == [1]


def test_a_refusal_by_the_only_runner_proves_its_crash(harness):
    harness.runners.has_data = False
    harness.probes.refused.add("127.0.0.1:1")
    harness.detector.handle_disconnect(state("i-1"), FINGERPRINT)
    harness.run(0.01)
    assert harness.crashes == [("i-1", [FINGERPRINT])]


def test_the_log_of_a_crash_names_the_parts_of_the_prompts(harness, monkeypatch):
    logged = []
    monkeypatch.setattr(
        detector, "log_warning", lambda event, **fields: logged.append((event, fields))
    )
    harness.probes.refused.add("127.0.0.1:1")
    features = RequestFeatures(b"run 1", (part_key(b"aa"), part_key(b"bb")))
    for each in (features, FINGERPRINT):
        harness.detector.handle_disconnect(state("i-1"), each)
    harness.run(0.01)
    assert logged[0][0] == "runner_ended_under_requests"
    assert logged[0][1]["parts"] == "aa,bb -"
