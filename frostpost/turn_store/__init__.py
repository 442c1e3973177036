"""Bodies of turns on the storage daemons' disks: put, fetch and repair."""
