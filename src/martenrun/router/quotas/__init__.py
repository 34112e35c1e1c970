"""Rate limits that are enforced jointly by all routers.

Each account is owned by two routers, selected identically by all routers (:mod:`.owners`).  Every
request of a tenant with a limit needs a grant from one of them before it is sent to a runner
(:mod:`.gate`).  The owner that grants replicates the use to the other one (:mod:`.service`).  A
router that becomes an owner recovers the account from what other routers remember
(:mod:`.recovery`).
"""
