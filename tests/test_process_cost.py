"""What a process tells about its own cost."""

import os
import threading

import pytest
from deployment import free_address

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


def test_a_reading_hands_the_interpreter_over_once_a_thread(monkeypatch):
    """Each call into the system costs 5 ms beside a busy thread: 150 threads took 2.7 s."""
    stopping = threading.Event()
    waiting = [threading.Thread(target=stopping.wait, name=f"idle-{n}") for n in range(30)]
    for thread in waiting:
        thread.start()
    times = ThreadTimes()
    times.read()
    reads = []
    pread = os.pread

    def counted(*arguments):
        reads.append(arguments)
        return pread(*arguments)

    monkeypatch.setattr(os, "pread", counted)
    monkeypatch.setattr("martenrun.observability.process_cost.FileIO", None)
    try:
        assert "idle" in times.read()
        assert len(reads) == threading.active_count()
    finally:
        stopping.set()
        for thread in waiting:
            thread.join()
    assert "idle" not in times.read()


def test_readings_at_the_same_time_share_the_files_one_after_the_other(monkeypatch):
    times = ThreadTimes()
    inside = []
    overlaps = []
    pread = os.pread

    def watched(*arguments):
        inside.append(threading.get_ident())
        overlaps.append(len(set(inside)) > 1)
        try:
            return pread(*arguments)
        finally:
            inside.remove(threading.get_ident())

    monkeypatch.setattr(os, "pread", watched)
    failures = []

    def read_often():
        try:
            for _ in range(200):
                times.read()
        except Exception as exc:
            failures.append(exc)

    readers = [threading.Thread(target=read_often, name=f"reader-{n}") for n in range(4)]
    for reader in readers:
        reader.start()
    for reader in readers:
        reader.join()
    assert failures == []
    assert not any(overlaps)
