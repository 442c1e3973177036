"""The daemon's HTTP interface: turns, lookups, configuration and status."""
