"""HTTP connections to outside systems, by urllib3 with its own retries switched off."""

import urllib3

CONNECT_TIMEOUT_S = 1.0


def connection_pool(address: str, read_timeout_s: float, size: int) -> urllib3.HTTPConnectionPool:
    """Return a pool of connections to ``IP:port``; retrying is the decision logic's matter."""
    host, _, port = address.rpartition(":")
    return urllib3.HTTPConnectionPool(
        host,
        int(port),
        timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout_s),
        retries=False,
        maxsize=size,
    )
