"""Descriptions of deployments, for benchmarks: zones, pools, tenants, load and faults."""
