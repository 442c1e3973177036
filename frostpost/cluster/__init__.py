"""Replicas and agents: leases and sessions, operation submission, bootstrap and voter reconfiguration."""
