"""Tests of the administration API: roles, references, conflicts, lost answers, key rotation."""

import hashlib
import json
import threading

import pytest
from werkzeug.test import Client

from martenrun.admin import client as client_module
from martenrun.admin.application import AdminApplication
from martenrun.admin.client import AdminClient
from martenrun.admin.messages import NEXT_AFTER_HEADER
from martenrun.backends import object_api
from martenrun.backends.weight_store import WeightStore
from martenrun.configuration.state import ConfigurationState
from martenrun.constants import MAXIMUM_OBJECT_BYTES
from martenrun.edge.responses import error_body
from martenrun.edge.server import HttpServer
from martenrun.errors import (
    InvalidKeyError,
    NodeUnavailableError,
    NotFoundError,
    Ran,
    VersionConflictError,
    error_classes,
)
from martenrun.standins.weights import Faults, LoadPace, WeightStoreApplication
from object_api_server import Store

ROOT = "root-token"


def digest(token):
    return hashlib.sha256(token.encode()).hexdigest()


class Admin:
    """The administration API over the stand-in; its view follows the store at once."""

    def __init__(self, store):
        self.store = store
        self.client = Client(AdminApplication(store.api, self.view, digest(ROOT), self.status))

    def view(self):
        state = ConfigurationState()
        listed = self.store.application.store.list_all()
        update = object_api.ConfigurationUpdate(0, listed.revision, complete=True)
        update.objects = [
            object_api.ConfigurationObject(
                item.kind, item.name, item.version, False, json.dumps(item.document).encode()
            )
            for item in listed.objects
        ]
        state.apply(update)
        return state.view

    def status(self):
        raise AssertionError("not called here")

    def call(self, method, path, document=None, version=0, token=ROOT):
        response = self.client.open(
            f"/admin/v1/{path}",
            method=method,
            data=None if document is None else json.dumps(document),
            headers={"Authorization": f"Bearer {token}", "If-Match": str(version)},
        )
        return response.status_code, response.get_json()

    def put(self, path, document, version=0, token=ROOT):
        status, body = self.call("PUT", path, document, version, token)
        assert status == 200, body
        return body["version"]

    def refusal(self, method, path, document=None, version=0, token=ROOT):
        status, body = self.call(method, path, document, version, token)
        assert status >= 400, body
        return body["error"]

    def key(self, name, tenant, role="caller"):
        return self.put(
            f"keys/{name}", {"tenant": tenant, "role": role, "key_sha256": digest(name)}
        )


@pytest.fixture
def admin(monkeypatch):
    monkeypatch.setattr(object_api, "READ_BACK_PAUSES_S", (0.0, 0.01))
    store = Store()
    made = Admin(store)
    for tenant in ("growers", "sellers"):
        made.put(f"tenants/{tenant}", {})
    yield made
    store.stop()


def test_a_tenant_admin_changes_only_its_own_tenants_keys(admin):
    admin.key("boss", "growers", "tenant-admin")
    foreign = admin.key("foreign", "sellers")
    document = {"tenant": "growers", "key_sha256": digest("new")}
    version = admin.put("keys/new", document, token="boss")
    for path, changed, expected in [
        ("keys/other", {**document, "tenant": "sellers"}, 0),
        ("keys/foreign", document, foreign),
        ("keys/high", {**document, "role": "platform-admin"}, 0),
        ("keys/high", {**document, "role": "reader"}, 0),
        ("tenants/growers", {"weight": 9}, 1),
        ("drains/runner-1", {}, 0),
    ]:
        refusal = admin.refusal("PUT", path, changed, expected, token="boss")
        assert refusal["code"] == "permission_denied", path
    assert admin.refusal("DELETE", "keys/foreign", None, foreign, "boss")["code"] == (
        "permission_denied"
    )
    _status, listed = admin.call("GET", "keys", token="boss")
    assert {item["name"] for item in listed} == {"boss", "new"}
    assert admin.refusal("GET", "keys/foreign", token="boss")["code"] == "permission_denied"
    assert admin.call("DELETE", "keys/new", None, version, "boss")[0] == 200


def test_a_reader_reads_all_and_a_caller_nothing(admin):
    admin.key("reading", "growers", "reader")
    admin.key("calling", "growers")
    assert len(admin.call("GET", "tenants", token="reading")[1]) == 2
    assert admin.refusal("PUT", "tenants/x", {}, token="reading")["code"] == "permission_denied"
    assert admin.refusal("GET", "tenants", token="calling")["code"] == "permission_denied"
    assert admin.refusal("GET", "tenants", token="nobody")["code"] == "invalid_api_key"


def test_references_must_exist_and_what_is_used_is_not_deleted(admin):
    route = {"model": "m", "pool": "p", "tenants": ["growers", "nobody"]}
    refusal = admin.refusal("PUT", "routes/r", route)
    assert refusal["code"] == "invalid_object"
    assert "pools/p" in refusal["message"]
    assert "tenants/nobody" in refusal["message"]
    policy = admin.put("policies/even", {"expression": "weight"})
    pool = admin.put("pools/p", {"model": "m", "weights_version": "v", "policy": "even"})
    used = admin.put("routes/r", {**route, "tenants": ["growers"]})
    for path, version in [("pools/p", pool), ("policies/even", policy)]:
        assert admin.refusal("DELETE", path, None, version)["code"] == "object_in_use"
    assert admin.call("DELETE", "routes/r", None, used)[0] == 200
    assert admin.call("DELETE", "pools/p", None, pool)[0] == 200


def test_racing_operators_have_one_winner_and_the_others_see_its_version(admin):
    version = admin.put("tenants/growers", {"weight": 2}, version=1)
    admin.store.set_faults(lose_write_probability=0.5, seed=5)
    answers = []

    def race(weight):
        answers.append(admin.call("PUT", "tenants/growers", {"weight": weight}, version))

    operators = [threading.Thread(target=race, args=(weight,)) for weight in range(3, 9)]
    for operator in operators:
        operator.start()
    for operator in operators:
        operator.join()
    won = [body["version"] for status, body in answers if status == 200]
    assert len(won) == 1
    lost = [body["error"] for status, body in answers if status == 409]
    assert [error["present_version"] for error in lost] == won * 5


def test_a_change_of_unknown_outcome_is_never_called_refused(admin):
    admin.store.set_faults(lose_answers=1, lose_read_probability=1.0)
    refusal = admin.refusal("PUT", "tenants/new", {})
    assert (refusal["code"], refusal["ran"]) == ("change_outcome_unknown", "unknown")
    assert "Read the object" in refusal["remedy"]


def test_too_large_objects_are_refused(admin):
    document = {"expression": "w" * MAXIMUM_OBJECT_BYTES}
    assert admin.refusal("PUT", "policies/long", document)["code"] == "object_too_large"


@pytest.mark.parametrize("version", ["\xb2", "9" * 5000, "-1", "*"])
def test_a_version_that_is_no_number_is_refused(admin, version):
    status, body = admin.call("PUT", "tenants/growers", {}, version)
    assert (status, body["error"]["code"]) == (400, "invalid_request")


def test_what_is_not_served_is_refused_and_not_taken_for_a_list(admin):
    for method, path in (("PUT", "tenants"), ("POST", "status"), ("POST", "tenants/growers")):
        status, body = admin.call(method, path, {})
        assert (status, body["error"]["code"]) == (405, "method_not_allowed")
    status, body = admin.call("GET", f"tenants?limit={'9' * 5000}")
    assert (status, body["error"]["code"]) == (400, "invalid_request")


def test_a_key_is_rotated_with_an_overlap(admin):
    old = admin.key("old", "growers")
    admin.key("new", "growers")
    assert [admin.view().key_of(token).tenant for token in ("old", "new")] == ["growers"] * 2
    retired = {"tenant": "growers", "key_sha256": digest("old"), "retired": True}
    admin.put("keys/old", retired, old)
    with pytest.raises(InvalidKeyError, match="retired"):
        admin.view().key_of("old")
    assert admin.view().key_of("new").tenant == "growers"


def test_a_pool_must_name_weights_that_exist_unless_the_weight_store_is_down(admin):
    weights = WeightStoreApplication(LoadPace(), ["m/v1"])
    server = HttpServer(weights, "127.0.0.1:0", threads=4)
    server.start()
    admin.client.application._weights = WeightStore(f"127.0.0.1:{server.port}")
    try:
        admin.put("pools/known", {"model": "m", "weights_version": "v1"})
        pool = {"model": "m", "weights_version": "v9", "adapters": ["a1"]}
        body = admin.refusal("PUT", "pools/unknown", pool)
        assert "v9, a1" in json.dumps(body)
        weights.set_faults(Faults(down=True))
        admin.put("pools/unknown", pool)
    finally:
        server.stop()


def test_a_dry_run_says_what_a_change_would_meet_and_changes_nothing(admin):
    revision = admin.store.application.store.list_all().revision
    admin.key("boss", "growers", "tenant-admin")
    dry = "?dry_run=true"
    assert admin.call("PUT", f"policies/even{dry}", {"expression": "weight"}) == (
        200,
        {"replaces": 0, "dry_run": True},
    )
    assert admin.call("PUT", f"tenants/growers{dry}", {"weight": 2}, 1)[1]["replaces"] == 1
    assert admin.call("DELETE", f"tenants/sellers{dry}", None, 2)[1]["dry_run"]
    for method, path, document, version, token, code in [
        ("PUT", "tenants/growers", {}, 0, ROOT, "version_conflict"),
        ("PUT", "tenants/growers", {}, 9, ROOT, "version_conflict"),
        ("PUT", "tenants/growers", {"wait": 2}, 1, ROOT, "invalid_object"),
        ("PUT", "routes/r", {"model": "m", "pool": "p"}, 0, ROOT, "invalid_object"),
        ("PUT", "tenants/growers", {}, 1, "boss", "permission_denied"),
        ("DELETE", "tenants/growers", None, 1, ROOT, "object_in_use"),
    ]:
        refusal = admin.refusal(method, path + dry, document, version, token)
        assert refusal["code"] == code, (method, path, document)
    assert admin.refusal("PUT", "tenants/x?dry_run=maybe", {})["code"] == "invalid_request"
    assert admin.store.application.store.list_all().revision == revision + 1


def test_a_list_is_read_in_pages_that_tell_a_tenant_admin_no_foreign_name(admin, monkeypatch):
    monkeypatch.setattr(client_module, "MAXIMUM_PAGE_OBJECTS", 3)
    for index in range(7):
        admin.put(f"tenants/t{index}", {})
    admin.key("boss", "growers", "tenant-admin")
    admin.key("foreign", "sellers")
    server = HttpServer(admin.client.application, "127.0.0.1:0", threads=4)
    server.start()
    try:
        address = f"127.0.0.1:{server.port}"
        names = [item.name for item in AdminClient(address, ROOT).list("tenants")]
        assert names == ["growers", "sellers", *(f"t{index}" for index in range(7))]
        assert [item.name for item in AdminClient(address, "boss").list("keys")] == ["boss"]
        headers = {"Authorization": "Bearer boss"}
        page = admin.client.get("/admin/v1/keys?limit=1", headers=headers)
        assert NEXT_AFTER_HEADER not in page.headers
    finally:
        server.stop()
    assert admin.refusal("GET", "tenants?limit=0")["code"] == "invalid_request"


@pytest.mark.parametrize(
    "body",
    [
        b'{"error": {"message": "not found", "code": "not_found"}}',
        error_body(NotFoundError("nothing is served at /admin/v1/tenants/growers")),
    ],
    ids=["stranger", "agent"],
)
def test_an_answer_of_something_else_is_told_with_a_remedy(body):
    def something_else(environ, start_response):
        start_response("404 Not Found", [])
        return [body]

    server = HttpServer(something_else, "127.0.0.1:0", threads=4)
    server.start()
    try:
        with pytest.raises(NodeUnavailableError, match="no node's administration API") as caught:
            AdminClient(f"127.0.0.1:{server.port}", ROOT).get("tenants", "growers")
        assert "agents have no administration API" in caught.value.remedy
    finally:
        server.stop()


def test_every_error_with_a_message_can_be_made_anew_by_who_reads_it():
    for code, kind in error_classes().items():
        if kind is not VersionConflictError:
            error = kind("told", remedy="do", ran=Ran.UNKNOWN, retry_after_s=1.0)
            assert (error.code, error.message, error.remedy) == (code, "told", "do")
