"""Periodic jobs of a daemon: load polling, the runner list, the ledger's clock, calendars, configuration, metrics."""
