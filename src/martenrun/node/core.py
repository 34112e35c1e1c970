"""The core of a node: its decision logic on a loop, joined to other nodes and the object API.

Real nodes add HTTP edges and connections to engines; hollow nodes of the scale run do not.

See also: :mod:`martenrun.node.process`, :mod:`martenrun.bench.scale.host`.
"""

import random
from collections.abc import Mapping
from typing import Any

from martenrun.backends.object_api import ObjectApi
from martenrun.configuration.driver import WatchWorker
from martenrun.events import (
    Event,
    Send,
    SendDatagram,
    StoreList,
    StoreRead,
    StoreWatch,
    StoreWrite,
)
from martenrun.loop_inbox import LoopInbox
from martenrun.node.parts import node_parts
from martenrun.process import (
    Carrier,
    LoopActor,
    StoreWorkers,
    datagram_carrier,
    message_carrier,
)
from martenrun.settings.model import NodeSettings
from martenrun.wire.keys import cluster_keys
from martenrun.wire.transport import PeerTransport


class NodeCore:
    """Parts, loop, transport and object API client of one node.

    Args:
        settings: the node's settings.
        incarnation: identity of this run of the node; changes at every restart.
        rng: source of the decision logic's jitter.

    Raises:
        OSError: the node's peer address cannot be listened on.
    """

    def __init__(self, settings: NodeSettings, incarnation: str, rng: random.Random) -> None:
        address = settings.peer_address
        self.parts = node_parts(settings, incarnation, rng)
        self.store = ObjectApi(settings.object_api)
        keys = cluster_keys(settings.cluster_secret, settings.accepted_secrets)
        self.key_uses = keys.uses
        self._inbox = LoopInbox()
        self.transport = PeerTransport(
            address,
            keys,
            self._inbox.receive,
            self._inbox.disconnected,
        )
        self._inbox.attach(self.transport)
        self.transport.listen(address)
        self._store_workers = StoreWorkers(self.store, self.tell)
        self._watch_worker = WatchWorker(self.store, self.tell)
        self._loop: Any = None

    def tell(self, event: Event) -> None:
        """Give the loop an event; call :meth:`start_loop` before."""
        self._loop.tell(event)

    def start_loop(self, carriers: Mapping[type[Any], Carrier]) -> None:
        """Start the loop with the carriers of instructions that are not the core's own."""
        own: dict[type[Any], Carrier] = {
            Send: message_carrier(self.transport, self.tell),
            SendDatagram: datagram_carrier(self.transport),
            StoreWrite: self._store_workers.carry,
            StoreRead: self._store_workers.carry,
            StoreList: self._store_workers.carry,
            StoreWatch: self._watch_worker.carry,
        }
        self._loop = LoopActor.start(self.parts.in_order(), {**own, **carriers}, self._inbox)

    def start(self) -> None:
        """Let the loop begin, with its transport and its clock."""
        self._inbox.start()

    def stop(self) -> None:
        """Stop every driver and the loop."""
        self._inbox.start()
        self._store_workers.stop()
        self._loop.stop()
        self.transport.close()
