"""Each checker finds a violation planted in a hand-made history, and passes the mended one."""

import pytest

from martenrun.proof.checkers import CHECKERS
from martenrun.proof.history import (
    Asked,
    CacheOrigin,
    ConfigurationAccepted,
    ConfigurationInForce,
    CutFromObjectApi,
    EngineListed,
    Executed,
    Granted,
    History,
    LeavingAnnounced,
    LeavingWithdrawn,
    LoadBegun,
    LoadEnded,
    PlannedStop,
    ProcessDisturbed,
    ProcessStarted,
    RemovalUnknown,
    RequestAnswered,
    RequestInvoked,
    Token,
)

LATER_S = 60.0


def invoked(request_id="r", **fields):
    values = {"time_s": 0.0, "edge": "agent", "tenant": "t", "source": "p", "output_tokens": 2}
    return RequestInvoked(request_id=request_id, **{**values, **fields})


def answered(indices=(0, 1), source="p", request_id="r", **fields):
    tokens = [Token(source, index) for index in indices]
    values = {"time_s": 1.0, "terminated": not fields.get("code")}
    return RequestAnswered(request_id=request_id, tokens=tokens, **{**values, **fields})


def executed(request_id="r", **fields):
    values = {
        "time_s": 0.5,
        "engine": "engine",
        "received_s": fields.get("time_s", 0.5),
        "incarnation": "i",
        "expected_incarnation": "i",
        "weights_version": "v1",
        "tenant": "t",
        "chain": ["a", "b"],
        "reused": [],
    }
    return Executed(request_id=request_id, **{**values, **fields})


def granted(**fields):
    values = {
        "time_s": 2.0,
        "node": "node",
        "request_id": "r",
        "attempt": 1,
        "runner": "engine",
        "incarnation": "i",
        "weights_version": "v1",
        "tenant": "t",
        "chain_version": "v1",
        "chain": ["a", "b"],
        "believed_blocks": 2,
    }
    return Granted(**{**values, **fields})


def in_force(time_s, revision, digest="", incarnation="i", process="node"):
    return ConfigurationInForce(
        time_s=time_s,
        process=process,
        incarnation=incarnation,
        revision=revision,
        digest=digest or str(revision),
    )


def asked(time_s):
    return Asked(time_s=time_s, request_id="r", edge="agent", node="node")


def listed(engine):
    return EngineListed(time_s=0.0, process=engine)


def begun(engine, fence=5):
    return LoadBegun(time_s=0.5, engine=engine, incarnation=engine, version="v2", fence=fence)


def ended(engine):
    return LoadEnded(time_s=0.6, engine=engine, incarnation=engine, version="v2", fence=5)


def accepted(revision, expected):
    return ConfigurationAccepted(
        time_s=1.0, revision=revision, subject="tenants/t", expected=expected
    )


def origin(tenant="t", weights_version="v1", incarnation="i"):
    return CacheOrigin(tenant, weights_version, incarnation)


def broken(time_s=1.0, ran="yes"):
    return answered((0,), time_s=time_s, code="stream_broken", ran=ran)


NODE = ProcessStarted(time_s=0.0, process="node", restarted=False)
AGENT_RESTART = ProcessStarted(time_s=1.0, process="agent", restarted=True, is_node=False)
UNSERVED = answered((), time_s=2.6, code="node_unavailable", ran="no")
NOT_READY = answered((), time_s=4.6, code="not_ready", ran="no")
STORE_DOWN = ProcessDisturbed(time_s=0.0, process="object-api", kind="down", until_s=9.0)
NODE_ASKED = invoked(time_s=2.0, edge="node")
API_CUT = CutFromObjectApi(time_s=0.5, process="node", until_s=9.0)
API_CUT_AT_FIRST = CutFromObjectApi(time_s=0.5, process="node", until_s=1.9)
HOLDER_ISOLATED = ProcessDisturbed(time_s=0.5, process="holder", kind="isolated", until_s=9.0)
HOLDER_BACK = ProcessDisturbed(time_s=0.5, process="holder", kind="isolated", until_s=1.9)
HOLDER_COPY = in_force(0.7, 1, process="holder")
STOP = PlannedStop(time_s=0.7, process="engine", until_s=3.0)
REFUSED_COPY = answered((), code="duplicate_request", ran="unknown")
KILL = ProcessDisturbed(time_s=0.0, process="node", kind="kill", until_s=1.0)
RESTART = ProcessStarted(time_s=1.0, process="node", restarted=True)
LOST_REMOVAL = RemovalUnknown(time_s=1.5, subject="tenants/t")
LEAVING = LeavingAnnounced(time_s=1.0, process="engine")
HOLDER = ProcessStarted(time_s=-9.0, process="holder", restarted=False)
LIST_DOWN = ProcessDisturbed(time_s=0.5, process="machine-list", kind="down", until_s=2.0)
LIST_LATE = ProcessDisturbed(time_s=0.5, process="machine-list", kind="late", until_s=2.0)
ISOLATED = ProcessDisturbed(time_s=0.5, process="agent", kind="isolated", until_s=2.0)
HOME_ISOLATED = ProcessDisturbed(time_s=0.5, process="node", kind="isolated", until_s=2.0)
ASKED_HOLDER = invoked(edge="holder")
ENGINE = EngineListed(time_s=0.0, process="engine")
OTHER = EngineListed(time_s=0.0, process="other")
ENGINE_DEAD = ProcessDisturbed(time_s=0.5, process="engine", kind="kill", until_s=1.5)
ENGINE_CUT = ProcessDisturbed(time_s=1.5, process="engine", kind="cut", until_s=1.5)
NO_RUNNER = answered((), time_s=2.6, code="no_runner", ran="no")

ABSENT = ProcessDisturbed(time_s=1.0, process="agent", kind="stopped", until_s=9.0)
AGENT_STOP = PlannedStop(time_s=0.5, process="agent", until_s=1.0)
HOLDER_DEAD = ProcessDisturbed(time_s=0.0, process="holder", kind="kill", until_s=0.6)
JUST_STARTED = [
    ProcessDisturbed(time_s=-1.0, process="node", kind="kill", until_s=0.2),
    ProcessStarted(time_s=0.2, process="node", restarted=True),
]
JUST_THAWED = ProcessDisturbed(time_s=-1.0, process="node", kind="freeze", until_s=0.2)
AGENT = ProcessStarted(time_s=0.0, process="agent", restarted=False, is_node=False)
UNTOLD = [
    in_force(0.5, 1, process="agent"),
    ConfigurationAccepted(time_s=1.0, revision=2),
]
FROZEN = ProcessDisturbed(time_s=2.0, process="node", kind="freeze", until_s=25.0)
OTHER_COPY = in_force(0.7, 1, process="o")
O_DEAD = ProcessDisturbed(time_s=0.8, process="o", kind="kill", until_s=9.0)
CHANGE = ConfigurationAccepted(time_s=1.0, revision=2)
HAD = in_force(1.1, 2, process="other")
API_DOWN = ProcessDisturbed(time_s=1.2, process="object-api", kind="down", until_s=9.0)
NODE_STOP = PlannedStop(time_s=0.5, process="node", until_s=1.0)
NODE_GONE = ProcessDisturbed(time_s=1.0, process="node", kind="stopped", until_s=9.0)
RESTARTED_LATER = ProcessStarted(time_s=9.0, process="node", restarted=True)
AGENT_BACK = ProcessStarted(time_s=20.0, process="agent", restarted=True, is_node=False)
FROZEN_LATER = ProcessDisturbed(time_s=15.0, process="node", kind="freeze", until_s=20.5)
FROZEN_FOR_LONG = ProcessDisturbed(time_s=15.0, process="node", kind="freeze", until_s=60.0)
UNTOLD_YET = in_force(34.0, 0, incarnation="j", process="agent")

PLANTED = [
    ("streams", [invoked(), answered((0,))]),
    ("streams", [invoked(), answered((1, 0))]),
    ("streams", [invoked(), answered((0, 0, 1), code="stream_broken")]),
    ("streams", [invoked(), answered((0,), terminated=False)]),
    ("own_answer", [invoked(), answered(source="q")]),
    ("own_answer", [invoked(), answered(), answered(time_s=2.0)]),
    ("own_answer", [answered()]),
    ("own_answer", [invoked(deadline_s=1.0)]),
    ("not_run", [invoked(), executed(), answered((), code="no_runner", ran="no")]),
    ("not_run", [invoked(), answered((), code="no_runner", ran="no"), executed(time_s=9.0)]),
    ("at_most_once", [invoked(repeatable=False), executed(), executed(time_s=0.6)]),
    (
        "at_most_once",
        [
            invoked("a", repeatable=False, idempotency_key="k"),
            invoked("b", repeatable=False, idempotency_key="k"),
            executed("a"),
            executed("b"),
        ],
    ),
    ("leaving", [LEAVING, executed(time_s=4.1)]),
    ("leaving", [LEAVING, executed(time_s=9.0, received_s=4.1)]),
    ("leaving", [LEAVING, LIST_DOWN, executed(time_s=5.1)]),
    ("leaving", [invoked(), ISOLATED, LEAVING, executed(time_s=5.1)]),
    ("leaving", [invoked(edge="other"), ISOLATED, LEAVING, executed(time_s=4.1)]),
    ("leaving", [invoked(), HOME_ISOLATED, LEAVING, granted(), executed(time_s=5.1)]),
    ("leaving", [invoked(), HOME_ISOLATED, LEAVING, executed(time_s=4.1)]),
    ("leaving", [HOLDER, ASKED_HOLDER, HOME_ISOLATED, LEAVING, granted(), executed(time_s=4.1)]),
    ("cache_use", [executed(reused=[origin(tenant="u")])]),
    ("cache_use", [executed(reused=[origin(weights_version="v0")])]),
    ("cache_use", [executed(reused=[origin(incarnation="h")])]),
    ("cache_use", [executed(expected_incarnation="h")]),
    ("cache_use", [executed(tenant="u"), granted()]),
    ("cache_use", [executed(incarnation="h", expected_incarnation="h"), granted()]),
    ("cache_use", [executed(), granted(weights_version="v2")]),
    ("cache_use", [executed(chain=["a"]), granted()]),
    (
        "restart",
        [
            KILL,
            RESTART,
            invoked(time_s=2.5, edge="node"),
            answered((), time_s=2.6, code="model_not_found", ran="no"),
        ],
    ),
    ("restart", [KILL, RESTART, invoked(time_s=2.5, edge="node")]),
    ("restart", [KILL, in_force(0.7, 1, process="o"), STORE_DOWN, RESTART, NODE_ASKED, UNSERVED]),
    ("restart", [HOLDER, API_CUT, KILL, RESTART, NODE_ASKED, UNSERVED]),
    ("restart", [API_CUT, KILL, HOLDER_COPY, RESTART, NODE_ASKED, UNSERVED]),
    ("restart", [API_CUT_AT_FIRST, KILL, RESTART, NODE_ASKED, UNSERVED]),
    ("restart", [HOLDER, API_CUT, HOLDER_BACK, KILL, RESTART, NODE_ASKED, UNSERVED]),
    ("restart", [HOLDER, HOLDER_ISOLATED, KILL, RESTART, NODE_ASKED, UNSERVED]),
    ("restart", [NODE, AGENT_RESTART, invoked(time_s=2.5), UNSERVED]),
    ("restart", [NODE, AGENT_RESTART, invoked(time_s=2.5), NOT_READY]),
    ("restart", [LIST_LATE, KILL, RESTART, NODE_ASKED, NO_RUNNER]),
    ("restart", [HOLDER, LIST_DOWN, KILL, RESTART, NODE_ASKED, NO_RUNNER]),
    ("restart", [ENGINE, ENGINE_CUT, KILL, RESTART, NODE_ASKED, NO_RUNNER]),
    ("restart", [ENGINE, OTHER, ENGINE_DEAD, KILL, RESTART, NODE_ASKED, NO_RUNNER]),
    ("restart", [ENGINE, ENGINE_DEAD, KILL, RESTART, NODE_ASKED, UNSERVED]),
    ("restart", [ENGINE, begun("engine"), ended("engine"), KILL, RESTART, NODE_ASKED, NO_RUNNER]),
    ("planned_stop", [invoked(), executed(), STOP, broken()]),
    ("planned_stop", [invoked(edge="engine"), STOP]),
    ("planned_stop", [invoked(), executed(), STOP, REFUSED_COPY]),
    ("planned_stop", [invoked(edge="engine"), STOP, broken()]),
    ("planned_stop", [invoked(edge="agent"), ABSENT, AGENT_STOP, broken()]),
    ("planned_stop", [HOLDER, NODE_STOP, NODE_GONE, asked(1.5)]),
    ("planned_stop", [HOLDER, NODE_STOP, NODE_GONE, asked(1.5), RESTARTED_LATER]),
    ("planned_stop", [HOLDER, *JUST_STARTED, NODE_STOP, NODE_GONE, asked(1.5)]),
    ("planned_stop", [invoked(edge="agent"), granted(), AGENT_STOP, broken()]),
    ("configuration", [NODE, AGENT, *UNTOLD, in_force(20.0, 1, process="agent")]),
    ("configuration", [NODE, AGENT, *UNTOLD, FROZEN, in_force(37.1, 1, process="agent")]),
    ("configuration", [NODE, AGENT, *UNTOLD, FROZEN_LATER, AGENT_BACK, UNTOLD_YET]),
    ("configuration", [in_force(0.5, 1), CHANGE, API_DOWN, in_force(21.1, 1)]),
    ("configuration", [in_force(0.5, 1), CHANGE, HAD, API_DOWN, in_force(13.5, 1)]),
    ("weights", [begun("a"), begun("b"), begun("c")]),
    ("weights", [listed("a"), listed("b"), begun("a"), begun("b")]),
    ("weights", [begun("a", fence=7), ended("a"), begun("a", fence=6)]),
    ("weights", [begun("a"), ended("a"), begun("a")]),
    ("weights", [executed(expected_version="v2")]),
    ("weights", [executed(), executed(weights_version="v2", resume_from=1)]),
    ("configuration", [in_force(1.0, 2), in_force(2.0, 1)]),
    ("configuration", [accepted(2, expected=1), accepted(3, expected=1)]),
    ("configuration", [accepted(2, expected=0), LOST_REMOVAL, accepted(3, 0), accepted(4, 0)]),
    ("configuration", [in_force(1.0, 2, "a"), in_force(2.0, 2, "b", process="other")]),
    (
        "configuration",
        [in_force(0.5, 1), ConfigurationAccepted(time_s=1.0, revision=2), in_force(20.0, 1)],
    ),
    (
        "configuration",
        [
            KILL,
            in_force(0.5, 1),
            ConfigurationAccepted(time_s=0.6, revision=2),
            in_force(13.1, 1, incarnation="j"),
        ],
    ),
]

CLEAN = [
    ("configuration", [in_force(0.5, 1), CHANGE, API_DOWN, in_force(13.5, 1)]),
    ("restart", [KILL, OTHER_COPY, O_DEAD, STORE_DOWN, RESTART, NODE_ASKED, UNSERVED]),
    ("planned_stop", [invoked(edge="agent"), granted(), AGENT_STOP, ENGINE_DEAD, broken()]),
    ("configuration", [NODE, AGENT, *UNTOLD, FROZEN, in_force(20.0, 1, process="agent")]),
    ("configuration", [NODE, AGENT, *UNTOLD, FROZEN_FOR_LONG, AGENT_BACK, UNTOLD_YET]),
    ("weights", [listed("a"), listed("b"), begun("a"), ended("a"), begun("b"), ended("b")]),
    ("weights", [begun("a"), ended("a"), begun("a", fence=6)]),
    ("weights", [executed(expected_version="v1"), executed(resume_from=1)]),
    ("restart", [ENGINE, begun("engine"), KILL, RESTART, NODE_ASKED, NO_RUNNER]),
    ("configuration", [accepted(2, expected=0), LOST_REMOVAL, accepted(3, expected=0)]),
    ("streams", [invoked(), answered(), answered((0,), request_id="s", code="stream_broken")]),
    ("own_answer", [invoked(), answered()]),
    ("not_run", [invoked(), executed(), answered((), code="outcome_unknown", ran="unknown")]),
    ("at_most_once", [invoked(repeatable=False), executed(), invoked("s"), executed("s")]),
    ("leaving", [LEAVING, executed(time_s=3.9)]),
    ("leaving", [LEAVING, executed(time_s=9.0, received_s=0.9)]),
    (
        "leaving",
        [LEAVING, LeavingWithdrawn(time_s=2.0, process="engine"), executed(time_s=9.0)],
    ),
    ("leaving", [LEAVING, LIST_DOWN, executed(time_s=4.9)]),
    ("leaving", [invoked(), ISOLATED, LEAVING, executed(time_s=4.9)]),
    ("leaving", [invoked(), HOME_ISOLATED, LEAVING, granted(), executed(time_s=4.9)]),
    ("cache_use", [executed(reused=[origin()]), granted()]),
    ("restart", [LIST_DOWN, KILL, RESTART, NODE_ASKED, NO_RUNNER]),
    ("restart", [KILL, RESTART, invoked(time_s=2.5, edge="node"), answered(time_s=2.6)]),
    (
        "restart",
        [
            NODE,
            ProcessDisturbed(time_s=0.5, process="node", kind="kill", until_s=1.9),
            AGENT_RESTART,
            invoked(time_s=2.5),
            UNSERVED,
        ],
    ),
    ("restart", [KILL, STORE_DOWN, RESTART, NODE_ASKED, UNSERVED]),
    ("restart", [API_CUT, KILL, RESTART, NODE_ASKED, UNSERVED]),
    (
        "restart",
        [HOLDER, API_CUT, HOLDER_ISOLATED, KILL, HOLDER_COPY, RESTART, NODE_ASKED, UNSERVED],
    ),
    ("restart", [ENGINE, ENGINE_DEAD, KILL, RESTART, NODE_ASKED, NO_RUNNER]),
    ("restart", [ENGINE, LEAVING, KILL, RESTART, NODE_ASKED, NO_RUNNER]),
    ("planned_stop", [invoked(), executed(), STOP, answered()]),
    ("planned_stop", [HOLDER, NODE_STOP, NODE_GONE, asked(0.9), RESTARTED_LATER, asked(9.5)]),
    ("planned_stop", [HOLDER, NODE_STOP, NODE_GONE, ISOLATED, asked(1.5)]),
    ("planned_stop", [HOLDER, HOLDER_DEAD, NODE_STOP, NODE_GONE, asked(1.5)]),
    ("planned_stop", [HOLDER, JUST_THAWED, NODE_STOP, NODE_GONE, asked(1.5)]),
    ("planned_stop", [invoked(edge="engine"), STOP, REFUSED_COPY]),
    (
        "configuration",
        [in_force(0.5, 1), ConfigurationAccepted(time_s=1.0, revision=2), in_force(9.0, 2)],
    ),
    (
        "configuration",
        [
            in_force(0.5, 1),
            ConfigurationAccepted(time_s=0.6, revision=1),
            ProcessDisturbed(time_s=14.0, process="node", kind="kill", until_s=15.0),
            in_force(16.0, 0, incarnation="j"),
        ],
    ),
]


@pytest.mark.parametrize(("promise", "records"), PLANTED)
def test_a_planted_violation_is_found(promise, records):
    assert [found.promise for found in CHECKERS[promise](History(records, LATER_S))] == [promise]


@pytest.mark.parametrize(("promise", "records"), CLEAN)
def test_a_clean_history_passes(promise, records):
    assert CHECKERS[promise](History(records, LATER_S)) == []


def test_every_checker_has_a_planted_violation():
    assert {promise for promise, _records in PLANTED} == set(CHECKERS)
