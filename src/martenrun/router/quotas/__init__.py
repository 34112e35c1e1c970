"""Tenants' rates, held by all routers together.

Each tenant's account is kept by two routers, the same for all that ask (:mod:`.homes`); every
request of a tenant with a limit asks one of them before it is sent to a runner (:mod:`.gate`), and
what one of the two grants it tells the other (:mod:`.ledger`).
"""
