"""The thread that moves the streams of many callers, against scripted engines' sockets."""

import socket
import threading
from contextlib import contextmanager

import pytest
from deployment import wait_until

from engine_server import served
from martenrun.backends.attempt import EngineAttempt
from martenrun.backends.engine import AttemptOutcome, EngineRequest
from martenrun.backends.stream_progress import StreamProgress
from martenrun.edge import relay as relay_module
from martenrun.edge.channel import OUTPUT_KEY
from martenrun.edge.relay import MAXIMUM_BACKLOG_BYTES, StreamRelay

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
DONE = b"data: [DONE]\n\n"


def event(text):
    return b'data: {"choices":[{"text":"%s"}]}\n\n' % text.encode()


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


class Output:
    def __init__(self):
        self.written = b""
        self.backlog_bytes = 0
        self.accepts = True

    def write(self, data):
        self.written += data
        return self.accepts


class Stream:
    """A stream that flows: the engine's end of its connection, and what the caller gets."""

    def __init__(self, relay, engine_listener, silence_s=60.0):
        address = f"127.0.0.1:{engine_listener.getsockname()[1]}"
        request = EngineRequest("/", b"{}", "", True, token_gap_timeout_s=silence_s)
        self.attempt = EngineAttempt(address, request, StreamProgress())
        self.output = Output()
        self.failure = None
        self.passed_on = 0
        self._relay = relay
        self._thread = threading.Thread(target=self._carry, daemon=True)
        self._thread.start()
        self.engine, _address = engine_listener.accept()
        self.engine.recv(65_536)
        self.engine.sendall(HEAD + chunk(event("first ")))
        wait_until(lambda: self.flows or self.has_ended, "the stream flows", 5.0)

    @property
    def flows(self):
        return any(one.stream is self.attempt for one in list(self._relay._streams.values()))

    @property
    def has_ended(self):
        return not self._thread.is_alive()

    def outcome(self):
        self._thread.join(timeout=5.0)
        assert self.has_ended
        self.engine.close()
        self.attempt.close()
        return self.attempt.result.outcome

    def passing_on(self):
        self.passed_on += 1

    def _carry(self):
        for piece in self.attempt.first_events():
            self.output.write(piece)
        try:
            self._relay.carry(self.attempt, self.output, self.passing_on)
        except ValueError as failure:
            self.failure = failure


@pytest.fixture
def listener():
    with socket.create_server(("127.0.0.1", 0)) as opened:
        yield opened


def test_a_stream_is_whole_however_its_bytes_are_cut(listener):
    stream = Stream(StreamRelay(), listener)
    rest = [event("second "), event("third "), DONE]
    for byte in b"".join(map(chunk, rest)):
        stream.engine.sendall(bytes([byte]))
    assert stream.outcome() is AttemptOutcome.COMPLETE
    assert stream.output.written == b"".join([event("first "), *rest])
    assert stream.passed_on == 3


@pytest.mark.parametrize("ending", [b"", b"0\r\n\r\n", b"no chunk", chunk(event("half"))[:-9]])
def test_an_end_without_the_terminator_is_broken_at_the_last_whole_event(listener, ending):
    stream = Stream(StreamRelay(), listener)
    stream.engine.sendall(chunk(event("second ")) + ending)
    stream.engine.shutdown(socket.SHUT_WR)
    assert stream.outcome() is AttemptOutcome.BROKEN
    assert stream.output.written == event("first ") + event("second ")
    assert stream.attempt._progress.resume_fields().resume_text == "first second "


def test_silent_and_faulty_streams_end_and_others_go_on(listener):
    relay = StreamRelay()
    other, silent, left, faulty, aborted = (
        Stream(relay, listener, silence_s) for silence_s in (60.0, 0.1, 60.0, 60.0, 60.0)
    )
    assert silent.outcome() is AttemptOutcome.BROKEN
    left.output.accepts = False
    left.engine.sendall(chunk(event("lost")))
    assert left.outcome() is AttemptOutcome.CALLER_GONE
    faulty.output.write = lambda data: int("no number")
    faulty.engine.sendall(chunk(event("lost")))
    faulty.outcome()
    assert isinstance(faulty.failure, ValueError)
    aborted.attempt.abort()
    assert aborted.outcome() is AttemptOutcome.CALLER_GONE
    other.engine.sendall(chunk(DONE))
    assert other.outcome() is AttemptOutcome.COMPLETE


def test_a_slow_caller_pauses_only_its_own_stream_and_is_not_taken_for_a_silent_engine(listener):
    relay = StreamRelay()
    slow, other = Stream(relay, listener, silence_s=0.3), Stream(relay, listener)
    slow.output.backlog_bytes = MAXIMUM_BACKLOG_BYTES + 1
    slow.engine.sendall(chunk(event("second ")))
    wait_until(lambda: slow.output.written.endswith(event("second ")), "one read", 5.0)
    slow.engine.sendall(chunk(event("third ")) + chunk(DONE))
    threading.Event().wait(0.4)
    other.engine.sendall(chunk(DONE))
    assert other.outcome() is AttemptOutcome.COMPLETE
    assert slow.output.written == event("first ") + event("second ")
    slow.output.backlog_bytes = 0
    assert slow.outcome() is AttemptOutcome.COMPLETE
    assert slow.output.written.endswith(event("third ") + DONE)


def test_the_thread_ends_without_streams_and_starts_again(listener, monkeypatch):
    monkeypatch.setattr(relay_module, "IDLE_S", 0.01)
    relay = StreamRelay()
    for _ in range(2):
        stream = Stream(relay, listener)
        stream.engine.sendall(chunk(DONE))
        assert stream.outcome() is AttemptOutcome.COMPLETE
        wait_until(lambda: relay._poll is None, "the thread ends", 5.0)


@contextmanager
def slow_caller(application):
    with served(application) as address:
        host, port = address.split(":")
        with socket.create_connection((host, int(port))) as caller:
            caller.sendall(b"GET / HTTP/1.1\r\nHost: edge\r\n\r\n")
            yield caller


def test_a_callers_connection_takes_a_part_from_another_thread_and_tells_its_backlog():
    found = []
    end = threading.Event()

    def application(environ, start_response):
        start_response("200 OK", [])

        def pieces():
            yield b"begun"
            found.append(environ[OUTPUT_KEY])
            end.wait(10.0)

        return pieces()

    with slow_caller(application) as caller:
        wait_until(lambda: found, "the answer has begun", 5.0)
        (output,) = found
        while output.backlog_bytes <= MAXIMUM_BACKLOG_BYTES:
            assert output.write(b"x" * 65_536)
        caller.close()
        wait_until(lambda: not output.write(b"x"), "the caller has gone", 5.0)
        end.set()
