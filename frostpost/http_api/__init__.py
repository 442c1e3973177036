"""The own HTTP interface: turns, lookups, configuration and status."""
