"""Logs hold no prompt text and no keys; metrics count each end once."""

import hashlib
import io
import logging as standard_logging
from importlib.metadata import version

import pytest
from absl import logging
from werkzeug.test import Client

from martenrun.configuration.objects import ApiKey, Kind, Pool, Route, Tenant
from martenrun.configuration.view import ConfigurationView
from martenrun.edge.application import CallerApplication
from martenrun.edge.forward import EdgePort
from martenrun.errors import StreamBrokenError
from martenrun.events import Finish, RequestArrived, RunAttempt
from martenrun.observability.logs import Field, format_fields, identify_process
from martenrun.settings.model import AgentSettings
from martenrun.wire.messages import Grant

KEY = "growers-secret-key"
PROMPT = "the pickers' secret tally"
NAMES = ["X-Request-Id", "X-Martenrun-Request-Id"]
HEADERS = {"Authorization": f"Bearer {KEY}", "X-Request-Id": "from caller event=forged"}


def application(finish):
    """An edge whose loop answers every request with the given instruction."""
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    documents = {
        (Kind.TENANT, "growers"): Tenant(),
        (Kind.API_KEY, "key"): ApiKey(tenant="growers", key_sha256=digest),
        (Kind.POOL, "readers"): Pool(model="reader", weights_version="v1"),
        (Kind.ROUTE, "readers"): Route(model="reader", pool="readers"),
    }
    view = ConfigurationView.build(1, documents)

    def tell(event):
        if isinstance(event, RequestArrived):
            port.deliver(finish(event.question.request_id))

    port = EdgePort(tell=tell)
    settings = AgentSettings(
        name="agent",
        zone="zone-a",
        cluster_secret="0123456789abcdef",
        http_address="127.0.0.1:1",
        max_streams=1,
    )
    return CallerApplication(port, lambda: view, settings)


@pytest.fixture
def log():
    stream = io.StringIO()
    handler = standard_logging.StreamHandler(stream)
    logger = logging.get_absl_logger()
    logger.addHandler(handler)
    verbosity = logging.get_verbosity()
    logging.set_verbosity(logging.DEBUG)
    yield stream
    logging.set_verbosity(verbosity)
    logger.removeHandler(handler)


def post(client, body=None, **headers):
    body = body or {"model": "reader", "prompt": PROMPT, "stream": True}
    return client.post("/v1/completions", json=body, headers=HEADERS | headers)


def test_logs_hold_neither_prompts_nor_keys_nor_forged_lines(log):
    edge = application(lambda request_id: Finish(request_id, StreamBrokenError(PROMPT)))
    client = Client(edge)
    assert post(client).status_code == 502
    assert post(client, {"model": PROMPT, "prompt": PROMPT}).status_code == 404
    assert post(client, {"model": "reader", "prompt": [PROMPT]}).status_code == 400
    assert post(client, Authorization="Bearer wrong-key").status_code == 401
    text = log.getvalue()
    assert text.count("event=request_ended") == 4
    assert "tenant=growers" in text
    assert "code=stream_broken" in text
    assert 'caller_request_id="from caller event=forged"' in text
    for secret in (KEY, PROMPT, "wrong-key"):
        assert secret not in text


def test_a_refused_request_is_named_in_its_answer_and_in_the_log(log):
    client = Client(application(lambda request_id: Finish(request_id, StreamBrokenError("broken"))))
    for body, names in (({}, ["X-Request-Id"]), ({"model": "reader", "prompt": "p"}, NAMES)):
        answer = client.post("/v1/completions", headers=HEADERS, json=body)
        assert answer.status_code >= 400
        assert [name for name in NAMES if name in answer.headers] == names
        assert answer.headers["X-Request-Id"] == HEADERS["X-Request-Id"]
    for line in log.getvalue().splitlines():
        assert 'caller_request_id="from caller event=forged"' in line


def test_metrics_count_each_end_once_and_slots_come_back(log):
    edge = application(lambda request_id: Finish(request_id, None))
    client = Client(edge)
    held = post(client)
    refused = post(client)
    assert (refused.status_code, refused.json["error"]["code"]) == (503, "edge_full")
    assert (refused.json["error"]["ran"], refused.headers["Retry-After"]) == ("no", "1")
    held.get_data()
    held.close()
    post(client).get_data()
    metrics = client.get("/metrics").text
    assert 'martenrun:requests_total{code="edge_full"} 1.0' in metrics
    assert 'martenrun:requests_total{code="ok"} 2.0' in metrics
    assert "martenrun:num_requests_running 0.0" in metrics


def test_an_engine_that_cannot_be_reached_is_told_to_the_loop_as_not_run():
    ended = []
    edge = application(
        lambda request_id: RunAttempt(request_id, Grant(request_id, 1, "e", "127.0.0.1:1"))
    )
    tell = edge._port.tell

    def record(event):
        ended.append(event)
        tell(event)
        if len(ended) == 2:
            edge._port.deliver(Finish(event.request_id, StreamBrokenError("over")))

    edge._port.tell = record
    post(Client(edge))
    assert ended[1].result.outcome == "not_run"


def test_every_line_names_the_process_and_its_version():
    record = standard_logging.LogRecord("absl", 20, "f.py", 1, "m", None, None)
    handler = logging.get_absl_handler()
    before = handler.formatter
    try:
        identify_process("node router-1")
        assert handler.format(record).endswith(
            f'm process="node router-1" version={version("martenrun")}'
        )
    finally:
        handler.setFormatter(before)


def test_values_are_quoted_and_cut():
    assert format_fields({Field.TENANT: "a\nb", Field.CODE: "x" * 100}) == (
        f'tenant="a\\nb" code={"x" * 80}'
    )
