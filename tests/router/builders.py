"""Builders of the router's messages and state with defaults for tests."""

from martenrun.net.server import ServerLimits
from martenrun.router.messages import (
    Configuration,
    Route,
    RouteKind,
    Runner,
    Service,
    Tenant,
    WeightedService,
)
from martenrun.router.placement import PlacementQuery
from martenrun.router.runner_state import RunnerState
from martenrun.router.settings import Bounds


def bounds(**changes):
    fields = {
        "drain_s": 2.0,
        "grace_s": 8.0,
        "configuration_s": 2.0,
        "revoke_s": 5.0,
        "is_revocation_strict": True,
        "budget_ratio": 0.2,
        "budget_window_s": 10.0,
        "budget_slack": 54.0,
        "lease_s": 3.0,
        "weights_s": 8.0,
        "directory_ttl_s": 5.0,
    }
    return Bounds(**{**fields, **changes})


def route(**changes):
    fields = {
        "name": "r",
        "host": "a.example",
        "path_prefix": "/a/",
        "kind": RouteKind.SAFE,
        "timeout_s": 2.0,
        "objective_s": 0.3,
        "priority": 0,
        "split": (WeightedService("s", 1.0),),
        "maximum_attempts": 2,
        "is_open": False,
        "is_resumable": False,
    }
    return Route(**{**fields, **changes})


def runner(instance, **changes):
    fields = {
        "instance": instance,
        "service": "s",
        "address": "127.0.0.1:1",
        "zone": "z1",
        "slots": 8,
        "is_draining": False,
        "weights": {"m": 1},
        "software": "v1",
    }
    return Runner(**{**fields, **changes})


def state(instance, **changes):
    return RunnerState(runner(instance, **changes))


def configuration(version, **changes):
    fields = {
        "version": version,
        "routes": (route(),),
        "services": {"s": Service("s", 100, None)},
        "stores": (),
        "limits": ServerLimits(),
        "tenants_by_key": {b"k1": Tenant("t", 1, False)},
        "has_tenants": True,
    }
    return Configuration(**{**fields, **changes})


def placement_query(**changes):
    fields = {
        "parts": (),
        "needed_tokens": 0,
        "memory_tokens": 0,
        "isolation_key": b"",
        "model": None,
        "target_version": None,
        "minimum_version": 0,
        "tried_instances": (),
        "zone": "z1",
        "now": 100.0,
    }
    return PlacementQuery(**{**fields, **changes})
