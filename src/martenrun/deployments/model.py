"""Typed description of a deployment, read from the TOML files of this package."""

import tomllib
from importlib import resources

from pydantic import BaseModel, ConfigDict, Field


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class PromptShape(_Strict):
    """How prompts of a pool nest: a root, chapters that extend each other, a question.

    Attributes:
        roots: different roots over all tenants (vineyards, by-laws).
        root_blocks: blocks of a root.
        chapters: longest run of chapters below a root.
        chapter_blocks: blocks of a chapter.
        question_blocks: most blocks that only one request has.
        output_tokens: most tokens of an answer.
    """

    roots: int = Field(gt=0)
    root_blocks: int = Field(gt=0)
    chapters: int = Field(ge=0)
    chapter_blocks: int = Field(gt=0)
    question_blocks: int = Field(gt=0)
    output_tokens: int = Field(gt=0)


class StoreShape(_Strict):
    """A pool's kept-cache store.

    Attributes:
        capacity_blocks: blocks that it keeps; the least recently used go first.
        set_up_s: time of a transfer of no blocks.
        block_bytes: size of one cached block.
        link_bytes_per_s: rate of its link, which all transfers share.
        export_bytes_per_s: most that is exported.
        fault_every_s: mean time between two faults.
        fault_s: time that it is down, or ten times slower, in a fault.
    """

    name: str
    capacity_blocks: int = Field(gt=0)
    set_up_s: float = Field(gt=0)
    block_bytes: int = Field(gt=0)
    link_bytes_per_s: float = Field(gt=0)
    export_bytes_per_s: float = Field(gt=0)
    fault_every_s: float = Field(gt=0)
    fault_s: float = Field(gt=0)


class PoolShape(_Strict):
    """Runners of one model and the load on them."""

    model: str
    runners: int = Field(gt=0)
    slots: int = Field(gt=0)
    cache_blocks: int = Field(gt=0)
    requests_per_s: float = Field(gt=0)
    prompt: PromptShape
    store: StoreShape | None = None

    def scaled(self, scale: int) -> "PoolShape":
        """Return a pool with so many times the runners, prefixes and requests."""
        prompt = self.prompt.model_copy(update={"roots": self.prompt.roots * scale})
        update = {"runners": self.runners * scale, "prompt": prompt}
        requests_per_s = self.requests_per_s * scale
        return self.model_copy(update={**update, "requests_per_s": requests_per_s})


class Faults(_Strict):
    """What goes wrong during a run.

    Attributes:
        event_interval_s: time between two cache events of an engine.
        event_lag_s: most time until an event arrives.
        event_loss: probability that an event is lost.
        engine_crash_every_s: mean time between two crashes in the deployment.
        engine_down_s: time until a crashed engine is back, empty.
        notice_s: time until nodes know of a crash or a return.
        node_restart_every_s: mean time between two restarts of a node, which forgets all.
    """

    event_interval_s: float = Field(gt=0)
    event_lag_s: float = Field(ge=0)
    event_loss: float = Field(ge=0, le=1)
    engine_crash_every_s: float = Field(gt=0)
    engine_down_s: float = Field(gt=0)
    notice_s: float = Field(ge=0)
    node_restart_every_s: float = Field(gt=0)


class Popularity(_Strict):
    """How requests spread over tenants and roots.

    Attributes:
        tenant_shares: relative load of each tenant.
        hot_share: share of requests that go to the few hot roots.
        hot_roots: roots that are hot at a time.
        shift_every_s: time after which other roots are hot.
    """

    tenant_shares: list[float] = Field(min_length=1)
    hot_share: float = Field(ge=0, le=1)
    hot_roots: int = Field(gt=0)
    shift_every_s: float = Field(gt=0)


class Deployment(_Strict):
    """One deployment; delays are one way, in seconds."""

    name: str
    zones: list[str] = Field(min_length=1)
    nodes: int = Field(gt=0)
    between_zones_s: float = Field(ge=0)
    to_client_s: float = Field(ge=0)
    deadline_s: float = Field(gt=0)
    pools: list[PoolShape] = Field(min_length=1)
    popularity: Popularity
    faults: Faults

    def with_nodes(self, nodes: int) -> "Deployment":
        """Return the same load and runners under another number of nodes."""
        return self.model_copy(update={"nodes": nodes})

    def scaled(self, scale: int) -> "Deployment":
        """Return a deployment with so many times the runners, prefixes, requests and nodes.

        Faults come as much more often; prefixes in demand stay as hot as they were.
        """
        pools = [pool.scaled(scale) for pool in self.pools]
        hot_roots = self.popularity.hot_roots * scale
        popularity = self.popularity.model_copy(update={"hot_roots": hot_roots})
        faults = self.faults.model_copy(
            update={
                "engine_crash_every_s": self.faults.engine_crash_every_s / scale,
                "node_restart_every_s": self.faults.node_restart_every_s / scale,
            }
        )
        update = {"nodes": self.nodes * scale, "pools": pools}
        return self.model_copy(update={**update, "popularity": popularity, "faults": faults})


def load_deployment(name: str) -> Deployment:
    """Read a deployment of this package by its name; raises FileNotFoundError."""
    path = resources.files("martenrun.deployments") / f"{name}.toml"
    return Deployment.model_validate(tomllib.loads(path.read_text(encoding="utf-8")))
