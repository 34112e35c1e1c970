"""What a stand-in engine is started with."""

from dataclasses import dataclass, field

from martenrun.standins.engine.events import FeedFaults
from martenrun.standins.engine.model import TimeModel


@dataclass(frozen=True)
class EngineSettings:
    """Settings of one stand-in engine.

    Attributes:
        model: name of the model served.
        weights_version: weights it holds at its start, and again after a crash.
        slots: streams in the batch at a time.
        queue_depth: requests that may wait for a slot; further ones are refused.
        block_bytes: length of one cached block, in bytes of canonical prompt text.
        cache_blocks: blocks the prefix cache holds.
        times: how long work takes.
        feed: how late and how lossy cache events are.
        load_lag_s: age of the load it reports, in seconds.
        weight_store: ``IP:port`` it loads weights from, or empty.
        kv_store: ``IP:port`` it exports blocks to, or empty.
    """

    model: str
    weights_version: str = "v1"
    slots: int = 16
    queue_depth: int = 0
    block_bytes: int = 4_000
    cache_blocks: int = 2_000
    times: TimeModel = field(default_factory=TimeModel)
    feed: FeedFaults = field(default_factory=FeedFaults)
    load_lag_s: float = 0.0
    weight_store: str = ""
    kv_store: str = ""
