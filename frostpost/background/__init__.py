"""Periodic work of a daemon: load reports, the list of runners, ledger ticks, calendars, repair, metrics."""
