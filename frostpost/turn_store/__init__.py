"""Storage of turn bodies on the replicas' disks: put, get and repair."""
