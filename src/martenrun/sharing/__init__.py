"""Fair sharing of runners between tenants: queue, policies, usage over all nodes."""
