"""An append-only log with checksummed records, compacted by writing a replacement file."""
