"""Lists the rate-limited accounts of one router to operators, at the internal address."""

import attrs
import msgspec

from martenrun.net.exchange import Exchange
from martenrun.net.http import STATUS_OK
from martenrun.router.quotas.gate import QuotaGate

QUOTAS_PATH = b"/quotas"
"""GET lists the accounts held by this router."""

JSON_TYPE = [(b"Content-Type", b"application/json")]

_ENCODE = msgspec.json.Encoder().encode


def serve_quotas(exchange: Exchange, gate: QuotaGate) -> None:
    """List the accounts held by this router, lowest balance first."""
    accounts = [attrs.asdict(view) for view in gate.views()]
    exchange.respond(STATUS_OK, JSON_TYPE, _ENCODE({"accounts": accounts}))
