"""What a process tells about its own cost."""

import os
import sys
import threading
import time

import pytest
from deployment import free_address, wait_until

from martenrun.bench.process_cost import ProcessCost, read_cost
from martenrun.edge.server import HttpServer
from martenrun.observability.metrics import EdgeMetrics
from martenrun.observability.process_cost import ProcessCostCollector, ThreadTimes
from martenrun.wire.keys import ClusterKeys
from martenrun.wire.messages import StatusQuery
from martenrun.wire.transport import PeerTransport


@pytest.fixture
def busy_thread():
    stopping = threading.Event()
    running = threading.Thread(target=lambda: spin(stopping), name="busy-3")
    running.start()
    yield
    stopping.set()
    running.join()


def spin(stopping):
    while not stopping.is_set():
        pass


def test_cost_is_told_by_thread_and_by_way(busy_thread):
    address = free_address()
    transport = PeerTransport(address, ClusterKeys(b"0123456789abcdef"), lambda *_: None)
    transport.listen(address)
    transport.start()
    metrics = EdgeMetrics()
    metrics.add(ProcessCostCollector(transport))

    def application(_environ, start_response):
        start_response("200 OK", [("Content-Type", "text/plain")])
        return [metrics.exposition()]

    edge = free_address()
    server = HttpServer(application, edge, threads=4)
    server.start()
    try:
        before = read_cost(edge)
        transport.send_datagram(address, StatusQuery("q"))
        spent = ProcessCost()
        # A scrape reads the process before its threads, and each in ticks of 10 ms.
        while min(spent.cpu_s, spent.thread_cpu_s.get("busy", 0.0)) < 0.05:
            spent = read_cost(edge).since(before)
    finally:
        server.stop()
        transport.stop()
    assert spent.peer_bytes == transport.sent_datagram_bytes > 0


@pytest.fixture
def idle_threads():
    stopping = threading.Event()
    waiting = [threading.Thread(target=stopping.wait, name=f"idle-{n}") for n in range(100)]
    for thread in waiting:
        thread.start()
    yield waiting
    stopping.set()
    for thread in waiting:
        thread.join()


@pytest.fixture
def interpreter_kept_until_handed_over():
    """A busy thread takes the interpreter only where a call hands it over."""
    before_s = sys.getswitchinterval()
    sys.setswitchinterval(20.0)
    yield
    sys.setswitchinterval(before_s)


class Turns:
    """Counts the turns that another thread gets, until it is stopped."""

    def __init__(self):
        self.count = 0
        self.is_stopped = False

    def run(self):
        while not self.is_stopped:
            self.count += 1
            os.getppid()
            time.sleep(0)  # hands the interpreter over


def test_no_reading_hands_the_interpreter_over(idle_threads, interpreter_kept_until_handed_over):
    """Such a call costs 5 ms beside a busy thread: with 384 threads a first one took 5 s."""
    turns = Turns()
    other = threading.Thread(target=turns.run, name="other")
    other.start()
    times = ThreadTimes()
    try:
        wait_until(lambda: turns.count > 0, "the other thread's first turn", 10)
        for _ in range(3):
            before = turns.count
            spent = times.read()
            assert turns.count == before
            assert {"idle", "other"} <= spent.keys()
    finally:
        turns.is_stopped = True
        other.join()


def test_the_time_of_threads_with_one_name_is_added_up(busy_thread):
    times = ThreadTimes()
    first = times.read()["busy"]
    wait_until(lambda: times.read()["busy"] > first, "the threads' time", 10)
    assert "busy-3" not in times.read()


def test_a_thread_that_ended_is_left_out(monkeypatch):
    ended = threading.Thread(target=lambda: None, name="ended")
    ended.start()
    ended.join()
    task = f"/proc/self/task/{ended.native_id}"
    wait_until(lambda: not os.path.exists(task), "the thread's end", 10)
    monkeypatch.setattr(threading, "enumerate", lambda: [threading.main_thread(), ended])
    spent = ThreadTimes().read()
    assert "ended" not in spent
    assert spent


def test_readings_at_the_same_time_do_not_disturb_each_other(idle_threads):
    times = ThreadTimes()
    failures = []

    def read_often():
        try:
            for _ in range(200):
                assert "idle" in times.read()
        except BaseException as exc:
            failures.append(exc)

    readers = [threading.Thread(target=read_often, name=f"reader-{n}") for n in range(4)]
    for reader in readers:
        reader.start()
    for reader in readers:
        reader.join()
    assert failures == []
