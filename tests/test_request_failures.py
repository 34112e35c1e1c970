"""Requests over real processes while engines die, freeze and lie, and callers leave."""

import json
import signal
import socket

import pytest
import urllib3
from deployment import Deployment, wait_until

from martenrun.wire.transport import parse_address

MODEL = "vine-reader"
KEY = "growers-key"
TOKENS = 80


@pytest.fixture(scope="module")
def deployment():
    running = Deployment()
    try:
        running.start_platform()
        for _ in range(3):
            running.start_engine(
                *("zone-a", "readers", MODEL, "--decode-s-per-token", "0.02"),
                *("--prefill-s-per-block", "0.3", "--slots", "4"),
            )
        running.start_nodes(["zone-a"])
        running.start_agents(["zone-a"], "--token-gap-timeout-s", "0.5")
        running.apply_tenant("growers", KEY)
        running.serve_pool("readers", MODEL)
        yield running
    finally:
        running.stop()


class Call:
    """A streamed completion, read event by event."""

    def __init__(self, edge, prompt, headers=None, tokens=TOKENS):
        body = {"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": True}
        self.response = urllib3.request(
            "POST",
            f"http://{edge}/v1/completions",
            body=json.dumps(body).encode(),
            headers={"Authorization": f"Bearer {KEY}"} | (headers or {}),
            preload_content=False,
            retries=False,
            timeout=20.0,
        )
        self.id = self.response.headers.get("X-Martenrun-Request-Id")
        self._stream = self.response.stream(amt=None)
        self._seen = b""

    def start(self):
        """Read until a few tokens have come."""
        while self._seen.count(b"data: ") < 3:
            self._seen += next(self._stream)
        return self

    def finish(self):
        """Read to the end; returns (text, finish events, terminators, error)."""
        self._seen += b"".join(self._stream)
        text, finishes, terminators, error = "", 0, 0, None
        for event in filter(None, self._seen.split(b"\n\n")):
            if event.startswith(b"event: error"):
                error = json.loads(event.split(b"data: ", 1)[1])["error"]
            elif event == b"data: [DONE]":
                terminators += 1
            else:
                choice = json.loads(event.removeprefix(b"data: "))["choices"][0]
                text += choice["text"]
                finishes += bool(choice.get("finish_reason"))
        return text, finishes, terminators, error

    def error(self):
        return json.loads(self.response.data)["error"]


def get(address, path):
    return urllib3.request("GET", f"http://{address}{path}", retries=False, timeout=5.0).json()


def executions(deployment, request_id, dead=()):
    """Count how often engines that live have begun a request."""
    live = [engine for engine in deployment.engines if engine not in dead]
    return sum(get(engine, "/v1/executed").count(request_id) for engine in live)


def serving(deployment, request_id):
    """Return the index of the engine that has a request."""
    for index, engine in enumerate(deployment.engines):
        if request_id in get(engine, "/v1/executed"):
            return index
    raise AssertionError(f"no engine has {request_id}")


def set_faults(address, **faults):
    urllib3.request("POST", f"http://{address}/faults", body=json.dumps(faults).encode())


def idle(deployment):
    return all(get(engine, "/v1/runner")["running"] == 0 for engine in deployment.engines)


def once_headers(key):
    return {"X-Repeatable": "false", "Idempotency-Key": key}


def test_a_stream_without_its_terminator_goes_on_elsewhere(deployment):
    edge = deployment.agent_edges[0]
    expected = Call(edge, "terminator").finish()
    assert expected[1:] == (1, 1, None)
    call = Call(edge, "terminator").start()
    engine = deployment.engines[serving(deployment, call.id)]
    set_faults(engine, omit_terminator=True)
    assert call.finish() == expected
    set_faults(engine)
    assert executions(deployment, call.id) == 2


def test_a_frozen_engine_counts_as_broken_and_the_stream_goes_on(deployment):
    edge = deployment.agent_edges[0]
    expected = Call(edge, "freeze").finish()
    call = Call(edge, "freeze").start()
    process = deployment.processes[f"engine-{serving(deployment, call.id)}"]
    process.send_signal(signal.SIGSTOP)
    try:
        assert call.finish() == expected
    finally:
        process.send_signal(signal.SIGCONT)
    assert executions(deployment, call.id) == 2


def test_a_broken_non_repeatable_stream_ends_typed_and_its_key_never_runs_again(deployment):
    call = Call(deployment.agent_edges[0], "pay", once_headers("pay-1"), tokens=500).start()
    engine = deployment.engines[serving(deployment, call.id)]
    set_faults(engine, crash=True)
    _, _, terminators, error = call.finish()
    assert (terminators, error["code"], error["ran"]) == (0, "stream_broken", "yes")
    again = Call(deployment.node_edges[0], "pay", once_headers("pay-1"))
    assert again.response.status == 409
    assert again.error()["code"] == "duplicate_request"
    assert executions(deployment, call.id) == 1


def test_a_key_runs_once_while_the_store_loses_answers_and_is_refused_while_it_is_down(deployment):
    set_faults(deployment.objects, lose_answers=1)
    first = Call(deployment.agent_edges[0], "fee", once_headers("fee-1"), tokens=4)
    assert first.finish()[1:] == (1, 1, None)
    assert Call(deployment.node_edges[0], "fee", once_headers("fee-1")).response.status == 409
    set_faults(deployment.objects, down=True)
    refused = Call(deployment.node_edges[0], "fee", once_headers("fee-2"))
    set_faults(deployment.objects)
    error = refused.error()
    assert (refused.response.status, error["code"], error["ran"]) == (
        503,
        "store_unavailable",
        "no",
    )
    assert "Retry-After" in refused.response.headers


@pytest.mark.parametrize("prompt", ["short", "n" * 16_000], ids=["tokens", "prefill"])
def test_the_engines_work_ends_when_the_caller_leaves(deployment, prompt):
    wait_until(lambda: idle(deployment), "idle engines", 10.0)
    edge = deployment.agent_edges[0]
    body = json.dumps({"model": MODEL, "prompt": prompt, "max_tokens": 10_000, "stream": True})
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    with socket.create_connection(parse_address(edge)) as caller:
        caller.sendall((head + body).encode())
        wait_until(lambda: not idle(deployment), "running request", 10.0)
    wait_until(lambda: idle(deployment), "the end of the engine's work", 10.0)


@pytest.mark.parametrize(
    ("body", "headers", "status", "code"),
    [
        ("{", {}, 400, "invalid_request"),
        ('{"model": 5}', {}, 400, "invalid_request"),
        ('{"model": "vine-reader", "prompt": "p"}', {"X-Deadline-Seconds": "-1"}, 504, None),
        ('{"model": "vine-reader", "prompt": "p"}', {"X-Repeatable": "maybe"}, 400, None),
        ("x" * (17 * 1024 * 1024), {}, 413, "body_too_large"),
        ("{}", {"X-Long": "x" * 70_000}, 431, "headers_too_large"),
    ],
    ids=["json", "type", "deadline", "repeatable", "body", "headers"],
)
def test_bad_input_gets_a_typed_error(deployment, body, headers, status, code):
    response = urllib3.request(
        "POST",
        f"http://{deployment.agent_edges[0]}/v1/completions",
        body=body.encode(),
        headers={"Authorization": f"Bearer {KEY}", "X-Request-Id": "mine"} | headers,
        retries=False,
    )
    error = response.json()["error"]
    assert (response.status, error["ran"]) == (status, "no")
    # The HTTP server refuses what is too large before it reads a request.
    assert response.headers.get("X-Request-Id") == (None if status in (413, 431) else "mine")
    assert error["remedy"]
    assert code is None or error["code"] == code


@pytest.mark.parametrize("edge", ["agent", "node"])
@pytest.mark.parametrize(
    ("method", "path", "status", "code", "allow"),
    [
        ("GET", "/v1/nothing", 404, "not_found", None),
        ("GET", "/v1/completions", 405, "method_not_allowed", "POST"),
        ("DELETE", "/v1/models", 405, "method_not_allowed", "GET, HEAD"),
    ],
)
def test_what_is_not_served_is_told_like_any_error(
    deployment, edge, method, path, status, code, allow
):
    address = (deployment.agent_edges if edge == "agent" else deployment.node_edges)[0]
    response = urllib3.request(method, f"http://{address}{path}", retries=False)
    error = response.json()["error"]
    assert (response.status, error["code"], error["ran"]) == (status, code, "no")
    assert error["type"] and error["remedy"]
    assert response.headers.get("Allow") == allow


def test_content_parts_are_read_as_text(deployment):
    parts = [{"type": "text", "text": "is it "}, {"type": "text", "text": "ripe?"}]
    answers = []
    for content in (parts, "is it ripe?", [{"type": "image_url"}]):
        body = {"model": MODEL, "messages": [{"role": "user", "content": content}], "max_tokens": 3}
        response = urllib3.request(
            "POST",
            f"http://{deployment.agent_edges[0]}/v1/chat/completions",
            body=json.dumps(body).encode(),
            headers={"Authorization": f"Bearer {KEY}", "X-Request-Id": "same"},
        )
        answers.append(response)
    assert [answer.status for answer in answers] == [200, 200, 400]
    texts = [answer.json()["choices"][0]["message"]["content"] for answer in answers[:2]]
    assert texts[0] == texts[1]
    ids = {answer.headers["X-Martenrun-Request-Id"] for answer in answers[:2]}
    assert (len(ids), answers[0].headers["X-Request-Id"]) == (2, "same")


def test_a_killed_engines_stream_goes_on_at_the_exact_token(deployment):
    edge = deployment.node_edges[0]
    expected = Call(edge, "kill").finish()
    call = Call(edge, "kill").start()
    index = serving(deployment, call.id)
    deployment.kill(f"engine-{index}")
    assert call.finish() == expected
    assert executions(deployment, call.id, dead=[deployment.engines[index]]) == 1
