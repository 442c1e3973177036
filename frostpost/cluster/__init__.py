"""Replicas and agents: sessions under leases, operations submitted, the bootstrap, voters that change by themselves."""
