"""Recording a simulated run as a history."""

import hashlib
from collections.abc import Callable

from martenrun.configuration.objects import encode_document
from martenrun.configuration.view import ConfigurationView
from martenrun.constants import BLOCK_HASH_BYTES
from martenrun.proof.history import (
    AnyRecord,
    Asked,
    CacheOrigin,
    ConfigurationInForce,
    Executed,
    Granted,
    History,
    LoadBegun,
    LoadEnded,
    RequestInvoked,
)
from martenrun.simulation.engine import Execution
from martenrun.simulation.weights import LoadStep
from martenrun.wire.messages import DecideRequest, Grant, Message


class Recorder:
    """Collects records; ``now`` returns the observer's time in seconds.

    Attributes:
        names: names of processes by their names on the internal network.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.names: dict[str, str] = {}
        self._now = now
        self._records: list[AnyRecord] = []
        self._tenants: dict[str, str] = {}
        self._questions: dict[tuple[str, int], DecideRequest] = {}
        self._digests: dict[int, tuple[ConfigurationView, str]] = {}

    def add(self, record: AnyRecord) -> None:
        """Add a record."""
        if isinstance(record, RequestInvoked):
            self._tenants[record.request_id] = record.tenant
        self._records.append(record)

    def history(self) -> History:
        """Return everything recorded, in order of time."""
        records = sorted(self._records, key=lambda record: record.time_s)
        return History(records, self._now())

    def executed(self, execution: Execution) -> None:
        """Record the start of an execution."""
        origins = [
            CacheOrigin(self._tenants[block.request_id], block.weights_version, block.incarnation)
            for block in execution.reused
        ]
        self.add(
            Executed(
                time_s=self._now(),
                engine=execution.engine,
                received_s=execution.received_s,
                incarnation=execution.incarnation,
                expected_incarnation=execution.expected.incarnation,
                weights_version=execution.weights_version,
                expected_version=execution.expected.weights_version,
                resume_from=execution.body.resume_from,
                request_id=execution.body.request_id,
                tenant=self._tenants[execution.body.request_id],
                chain=_hexadecimal(execution.chain),
                reused=origins,
            )
        )

    def load_step(self, step: LoadStep) -> None:
        """Record the beginning or the end of a load of weights."""
        kind = LoadEnded if step.is_end else LoadBegun
        self.add(
            kind(
                time_s=self._now(),
                engine=step.engine,
                incarnation=step.incarnation,
                version=step.version,
                fence=step.fence,
            )
        )

    def sent(self, sender: str, receiver: str, message: Message) -> None:
        """Record a message if it is a question or a grant.

        A question's chain is kept, because a grant is recorded with it.

        Args:
            sender: name of a process.
            receiver: name on the internal network.
        """
        if isinstance(message, DecideRequest):
            self.add(
                Asked(
                    time_s=self._now(),
                    request_id=message.request_id,
                    edge=sender,
                    node=self.names.get(receiver, receiver),
                )
            )
            self._questions[(message.request_id, message.attempt)] = DecideRequest(
                tenant=message.tenant,
                weights_version=message.weights_version,
                chain=message.chain,
            )
        if isinstance(message, Grant):
            self._granted(sender, message)

    def in_force(self, process: str, incarnation: str, view: ConfigurationView) -> None:
        """Record the configuration that a process has in force."""
        self.add(
            ConfigurationInForce(
                time_s=self._now(),
                process=process,
                incarnation=incarnation,
                revision=view.revision,
                digest=self._digest(view),
            )
        )

    def _granted(self, node: str, grant: Grant) -> None:
        question = self._questions[(grant.request_id, grant.attempt)]
        self.add(
            Granted(
                time_s=self._now(),
                node=node,
                request_id=grant.request_id,
                attempt=grant.attempt,
                runner=grant.runner,
                incarnation=grant.incarnation,
                weights_version=grant.weights_version,
                tenant=question.tenant,
                chain_version=question.weights_version,
                chain=_hexadecimal(question.chain),
                believed_blocks=grant.believed_blocks,
            )
        )

    def _digest(self, view: ConfigurationView) -> str:
        """Return a digest of a view's documents; a view never changes, so it is kept."""
        known = self._digests.get(id(view))
        if known is not None and known[0] is view:
            return known[1]
        digest = hashlib.blake2b(digest_size=8)
        for (kind, name), document in sorted(view.documents.items()):
            digest.update(f"{kind}/{name}=".encode() + encode_document(document) + b"\n")
        self._digests[id(view)] = (view, digest.hexdigest())
        return digest.hexdigest()


def _hexadecimal(chain: bytes) -> list[str]:
    return [
        chain[start : start + BLOCK_HASH_BYTES].hex()
        for start in range(0, len(chain), BLOCK_HASH_BYTES)
    ]
