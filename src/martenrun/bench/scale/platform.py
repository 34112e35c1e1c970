"""The platform of the scale run: machines, hollow runners and published configuration."""

import json
import random
from collections.abc import Mapping
from dataclasses import dataclass

from martenrun.backends.engine import RunnerDescription
from martenrun.backends.machine_list import Machine
from martenrun.simulation.store import SimulatedStore

ZONES = 6
REGIONS = 3
MODELS = 13
SLOTS = 16
VERSION = "v1"


def zone_name(index: int) -> str:
    """Return the zone of the machine of an index."""
    return f"zone-{index % ZONES}"


def region_name(index: int) -> str:
    """Return the region that holds the zone of the machine of an index."""
    return f"region-{index % ZONES % REGIONS}"


def model_name(index: int) -> str:
    """Return the model served by the runner of an index."""
    return f"model-{index % MODELS}"


@dataclass
class HollowRunner:
    """A runner that only counts what runs on it."""

    machine: Machine
    model: str
    running: int = 0
    rejected: int = 0

    @property
    def incarnation(self) -> str:
        """Identity of its one run."""
        return f"{self.machine.name}-1"

    def describe(self) -> RunnerDescription:
        """Return the engine's own description."""
        return RunnerDescription(self.incarnation, self.model, VERSION, self.running, SLOTS, 0)

    def start(self) -> bool:
        """Start an attempt if a slot is free."""
        if self.running >= SLOTS:
            self.rejected += 1
            return False
        self.running += 1
        return True


def make_runners(count: int) -> dict[str, HollowRunner]:
    """Return runners by address, spread evenly over zones and models."""
    runners: dict[str, HollowRunner] = {}
    for index in range(count):
        address = f"10.{128 + index // 62_500}.{index // 250 % 250}.{index % 250}:80"
        # Zones change slower than models, so that every zone has every model.
        zone = zone_name(index // MODELS)
        model = model_name(index)
        machine = Machine(f"runner-{index}", "engine", address, zone, model)
        runners[address] = HollowRunner(machine, model)
    return runners


class Publisher:
    """Publishes the configuration as operators would, past the administration API."""

    def __init__(self, store: SimulatedStore, tenants: int, rng: random.Random) -> None:
        self._store = store
        self._rng = rng
        self.tenants = [f"tenant-{index}" for index in range(tenants)]
        self._versions: dict[str, int] = {}

    def publish_all(self) -> int:
        """Publish every model's pool and route and every tenant; returns the revision."""
        revision = 0
        for index in range(MODELS):
            model = model_name(index)
            pool = {"model": model, "weights_version": VERSION}
            self._store.write("pools", model, 0, _encode(pool))
            self._store.write("routes", model, 0, _encode({"model": model, "pool": model}))
        for tenant in self.tenants:
            revision = self.publish_tenant(tenant)
        return revision

    def publish_change(self) -> int:
        """Change one tenant; returns the new revision."""
        return self.publish_tenant(self._rng.choice(self.tenants))

    def publish_tenant(self, tenant: str) -> int:
        """Publish a tenant with another weight; returns the new revision."""
        document = _encode(
            {
                "weight": round(self._rng.uniform(0.5, 4.0), 3),
                "requests_per_s": 1_000_000,
                "tokens_per_s": 1_000_000_000,
                "concurrent_streams": 1_000_000,
                "queue_length": 1_000_000,
            }
        )
        version = self._store.write("tenants", tenant, self._versions.get(tenant, 0), document)
        self._versions[tenant] = version
        return version


def _encode(document: Mapping[str, object]) -> bytes:
    return json.dumps(document).encode()
