"""Tests that only a refused connection or a later instance proves a runner's crash."""

import pytest

from martenrun.net.loop import Loop
from martenrun.router.crash_watch import (
    ANSWER_S,
    CONFIRMED_S,
    PAUSES_S,
    REMEMBERED_S,
    CrashWatch,
    Probe,
)

from .blame_world import Probes, Runners
from .builders import state
from .fakes import FakeLoop
from .loopback import RunnerPeer, free_address, serve_until

RUN = b"run 1"


class Watched:
    def __init__(self):
        self.loop = FakeLoop()
        self.probes = Probes()
        self.runners = Runners()
        self.ended = []
        self.watch = CrashWatch(
            self.loop,
            self.runners.knowledge(),
            lambda start, runs: self.ended.append((start, list(runs))),
            self.probes,
        )

    def run(self, seconds):
        self.loop.run_until(self.loop.time + seconds)


@pytest.fixture
def watched():
    return Watched()


def test_a_refused_connection_proves_the_end_of_the_start_under_all_that_ran(watched):
    watched.probes.refused.add("127.0.0.1:1")
    for run in (RUN, b"run 2"):
        watched.watch.note_broken(state("i-1"), run)
    watched.run(0.01)
    assert watched.ended == [("i-1", [RUN, b"run 2"])]
    assert len(watched.probes.asked) == 1


def test_a_run_that_breaks_after_the_proof_is_blamed_at_once(watched):
    watched.probes.refused.add("127.0.0.1:1")
    watched.watch.note_broken(state("i-1"), RUN)
    watched.run(0.01)
    watched.watch.note_broken(state("i-1"), b"run 2")
    assert watched.ended[1:] == [("i-1", [b"run 2"])]


def test_a_reset_of_a_runner_that_goes_on_blames_nobody(watched):
    watched.watch.note_broken(state("i-1"), RUN)
    watched.run(REMEMBERED_S)
    watched.watch.look_again()
    assert watched.ended == []


def test_a_runner_that_is_leaving_ends_by_a_plan(watched):
    watched.probes.refused.add("127.0.0.1:1")
    watched.watch.note_broken(state("i-1", is_draining=True), RUN)
    watched.runners.unlisted.add("i-2")
    watched.watch.note_broken(state("i-2"), RUN)
    watched.run(1.0)
    assert watched.ended == [] and watched.probes.asked == []


# Guards against crashes that no request was blamed for because the next instance was listed before
# the connection broke.
def test_a_run_that_breaks_once_a_later_start_is_listed_counts_for_the_one_that_ended(watched):
    watched.runners.unlisted.add("i-1")
    watched.runners.ended.add("i-1")
    watched.watch.note_broken(state("i-1"), RUN)
    watched.run(1.0)
    assert watched.ended == [("i-1", [RUN])] and watched.probes.asked == []


def test_a_refusal_proves_nothing_while_a_kept_connection_is_open(watched):
    watched.probes.refused.add("127.0.0.1:1")
    watched.runners.connected.add("i-1")
    watched.watch.note_broken(state("i-1"), RUN)
    watched.run(1.0)
    assert watched.ended == []


@pytest.mark.parametrize("proof", ["the same id", "another id"])
def test_without_an_answer_a_later_start_proves_the_end(watched, proof):
    watched.probes.silent.add("127.0.0.1:1")
    watched.watch.note_broken(state("i-1"), RUN)
    watched.run(ANSWER_S + 0.1)
    watched.watch.look_again()
    assert watched.ended == []
    if proof == "the same id":
        watched.runners.ended.add("i-1")
    else:
        watched.runners.at["127.0.0.1:1"] = ["i-2"]
    watched.watch.look_again()
    watched.watch.look_again()
    assert watched.ended == [("i-1", [RUN])]


# Guards against crashes detected seconds late or never because a process that is exiting, or a
# proxy before it, accepts a connection and closes it at once.
def test_an_inconclusive_probe_is_repeated_until_the_end_is_proved(watched):
    watched.probes.unclear.add("127.0.0.1:1")
    watched.watch.note_broken(state("i-1"), RUN)
    watched.run(0.02)
    assert watched.ended == [] and watched.watch.has_open_cases()
    watched.probes.refused.add("127.0.0.1:1")
    watched.probes.unclear.clear()
    watched.run(0.1)
    assert watched.ended == [("i-1", [RUN])]
    assert not watched.watch.has_open_cases()


# Guards against undetected crashes: a refusal counted as a sign of life while the reset of a
# kept-alive connection had not arrived.
def test_a_refusal_counts_once_no_kept_connection_is_open(watched):
    watched.probes.refused.add("127.0.0.1:1")
    watched.runners.connected.add("i-1")
    watched.watch.note_broken(state("i-1"), RUN)
    watched.run(0.02)
    watched.runners.connected.clear()
    watched.run(0.1)
    assert watched.ended == [("i-1", [RUN])]


# Guards against undetected crashes: one accepted probe counted as a sign of life although a proxy
# had not noticed the crash yet.
def test_a_runner_lives_only_if_it_accepts_twice(watched):
    watched.watch.note_broken(state("i-1"), RUN)
    watched.run(0.05)
    assert watched.ended == []
    watched.probes.refused.add("127.0.0.1:1")
    watched.run(CONFIRMED_S)
    assert watched.ended == [("i-1", [RUN])]


def test_a_repeated_probe_that_is_accepted_leaves_the_proof_to_a_later_start(watched):
    watched.probes.unclear.add("127.0.0.1:1")
    watched.watch.note_broken(state("i-1"), RUN)
    watched.run(0.02)
    watched.probes.unclear.clear()
    watched.run(0.5)
    assert watched.ended == [] and not watched.watch.has_open_cases()
    watched.runners.ended.add("i-1")
    watched.watch.look_again()
    assert watched.ended == [("i-1", [RUN])]


def test_probes_of_a_runner_that_stays_unclear_are_few(watched):
    watched.probes.unclear.add("127.0.0.1:1")
    watched.watch.note_broken(state("i-1"), RUN)
    watched.run(REMEMBERED_S)
    assert len(watched.probes.asked) == 1 + len(PAUSES_S)
    assert watched.ended == [] and not watched.watch.has_open_cases()


def test_a_run_that_breaks_long_after_an_unclear_case_is_a_case_of_its_own(watched):
    watched.probes.unclear.add("127.0.0.1:1")
    watched.watch.note_broken(state("i-1"), RUN)
    watched.run(REMEMBERED_S + 0.1)
    watched.watch.note_broken(state("i-1"), b"run 2")
    watched.probes.unclear.clear()
    watched.probes.refused.add("127.0.0.1:1")
    watched.run(0.2)
    assert watched.ended == [("i-1", [b"run 2"])]


def test_runs_that_break_one_after_the_other_do_not_confirm_a_sign_of_life(watched):
    for _ in range(3):
        watched.watch.note_broken(state("i-1"), RUN)
        watched.run(0.02)
    assert len(watched.probes.asked) == 1
    watched.probes.refused.add("127.0.0.1:1")
    watched.run(CONFIRMED_S)
    assert watched.ended == [("i-1", [RUN] * 3)]


def test_a_proof_that_comes_too_late_blames_nobody(watched):
    watched.probes.silent.add("127.0.0.1:1")
    watched.watch.note_broken(state("i-1"), RUN)
    watched.run(REMEMBERED_S + 0.1)
    watched.runners.ended.add("i-1")
    watched.watch.look_again()
    assert watched.ended == []


def test_who_waits_for_the_proof_is_called_once_it_is_there_or_cannot_be(watched):
    calls = []
    watched.watch.when_known("i-1", lambda: calls.append("nothing asked"))
    watched.probes.refused.add("127.0.0.1:1")
    watched.watch.note_broken(state("i-1"), RUN)
    watched.watch.when_known("i-1", lambda: calls.append(len(watched.ended)))
    assert calls == ["nothing asked"]
    watched.run(0.01)
    assert calls == ["nothing asked", 1]
    watched.probes.silent.add("127.0.0.1:2")
    watched.watch.note_broken(state("i-2", address="127.0.0.1:2"), RUN)
    watched.watch.when_known("i-2", lambda: calls.append("no answer"))
    watched.run(ANSWER_S + 0.1)
    assert calls[2:] == ["no answer"]


def test_a_probe_tells_a_listener_from_a_dead_port():
    loop = Loop()
    answers = {}
    peer = RunnerPeer()
    Probe(loop, peer.address, lambda refused: answers.setdefault("listens", refused))
    Probe(loop, free_address(), lambda refused: answers.setdefault("dead", refused))
    serve_until(loop, lambda: len(answers) == 2)
    peer.close()
    assert answers == {"listens": False, "dead": True}


def test_a_connection_that_is_accepted_and_closed_at_once_says_nothing():
    """A proxy accepts it for a crashed runner, or the runner has too many connections."""
    loop = Loop()
    answers = []
    peer = RunnerPeer()
    Probe(loop, peer.address, answers.append)

    def closed():
        for each in peer.accept():
            each.close()
        return answers

    serve_until(loop, closed)
    peer.close()
    assert answers == [None]
