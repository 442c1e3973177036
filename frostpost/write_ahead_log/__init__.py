"""An append-only checksummed log with snapshots by rewriting."""
