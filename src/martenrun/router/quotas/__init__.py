"""Tenants' rates, held by all routers together.

Each tenant's account is owned by two routers, the same for all that ask (:mod:`.owners`).  Every
request of a tenant with a limit asks one of them before it is sent to a runner (:mod:`.gate`); what
one of the two grants it replicates to the other (:mod:`.service`).  A router that comes to own an
account recovers it from what the others remember (:mod:`.recovery`).
"""
