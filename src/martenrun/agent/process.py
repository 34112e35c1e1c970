"""The agent process: wiring of decision logic and drivers."""

import random
import secrets
import threading
from typing import Any

from martenrun.agent.parts import agent_parts
from martenrun.edge.application import CallerApplication
from martenrun.edge.drain import EdgeStop
from martenrun.edge.forward import EdgePort
from martenrun.edge.server import ConnectionLimits, HttpServer
from martenrun.events import Finish, PeerDisconnected, PeerMessage, RunAttempt, Send
from martenrun.process import Clock, LoopActor, message_carrier
from martenrun.settings.model import AgentSettings
from martenrun.wire.keys import cluster_keys
from martenrun.wire.transport import PeerTransport


class AgentProcess:
    """Everything that runs in an agent process."""

    def __init__(self, settings: AgentSettings) -> None:
        self._parts = agent_parts(settings, secrets.token_hex(8), random.Random())
        self._loop: Any = None
        self._port = EdgePort(tell=lambda event: self._loop.tell(event))
        self._transport = PeerTransport(
            f"agent/{settings.name}",
            cluster_keys(settings.cluster_secret),
            lambda peer, message: self._loop.tell(PeerMessage(peer, message)),
            lambda peer: self._loop.tell(PeerDisconnected(peer)),
        )
        self._loop = LoopActor.start(
            self._parts.in_order(),
            {
                Send: message_carrier(self._transport, lambda event: self._loop.tell(event)),
                RunAttempt: self._port.deliver,
                Finish: self._port.deliver,
            },
        )
        application = CallerApplication(self._port, self._parts.view, settings)
        self._server = HttpServer(
            application,
            settings.http_address,
            settings.max_streams + settings.http_threads,
            ConnectionLimits(settings.max_connections, settings.receive_timeout_s),
        )
        self._stop = EdgeStop(
            application.slots, self._server, self._port.watch, settings.drain_timeout_s
        )
        self._clock = Clock(self._loop.tell)

    def start(self) -> None:
        """Start every driver."""
        self._transport.start()
        self._clock.start()
        self._port.watch.start()
        self._server.start()

    def drain(self, hurry: threading.Event) -> None:
        """Refuse new requests, typed and not run, and let running streams end."""
        self._stop.begin()
        self._stop.end_requests(hurry)
        self._stop.close_connections(hurry)

    def stop(self) -> None:
        """Stop every driver and the loop."""
        self._server.stop()
        self._clock.stop()
        self._port.watch.stop()
        self._transport.stop()
        self._loop.stop()
