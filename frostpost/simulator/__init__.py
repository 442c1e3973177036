"""Seeded simulation of the real code under a virtual clock: faults, checkers, planted faults."""
