"""Disk faults of the whole-path simulation."""

from . import simulated_disk
from .fleet import kill, schedule, start_if_down


def any_daemon(fleet, random, role=None):
    """Return the name of a random daemon, of the given role if any."""
    return random.choice([n for n, d in fleet.daemons.items() if role in (None, d.settings.role)])


def has_majority_without(fleet, excluded):
    """Return whether the storage daemons other than `excluded` that hold full copies are a majority."""
    ready = [
        n
        for n, d in fleet.daemons.items()
        if d.settings.role == "storage"
        and n != excluded
        and d.host.alive
        and d.ctx is not None
        and d.ctx.core.synchrony.primary.ready
        and d.ctx.core.synchrony.primary.opened
    ]
    return len(ready) * 2 > sum(d.settings.role == "storage" for d in fleet.daemons.values())


def lose_disk(fleet, random):
    """Replace a storage daemon's disk by an empty one."""
    name = any_daemon(fleet, random, "storage")
    if not has_majority_without(fleet, name):
        return
    kill(fleet, name, True)
    simulated_disk.wipe(fleet.daemons[name].disk)
    schedule(fleet, random.uniform(50, 2000), start_if_down, fleet, name)


def corrupt_disk(fleet, random):
    """Corrupt a file on a storage daemon's disk."""
    name = any_daemon(fleet, random, "storage")
    if not has_majority_without(fleet, name):
        return
    kill(fleet, name)
    simulated_disk.corrupt(fleet.daemons[name].disk, f"/{name}/{random.choice(('log', 'bodies'))}", random)
    schedule(fleet, random.uniform(50, 1000), start_if_down, fleet, name)


def fail_disk_calls(fleet, random):
    """Make the next one to three calls of a kind to a storage daemon's disk fail."""
    name = any_daemon(fleet, random, "storage")
    if has_majority_without(fleet, name):
        fleet.daemons[name].disk.failing[random.choice(("write", "sync", "open", "replace"))] = random.randint(1, 3)


def fill_disk(fleet, random):
    """Fill a storage daemon's disk for a while."""
    disk = fleet.daemons[any_daemon(fleet, random, "storage")].disk
    disk.capacity_bytes = simulated_disk.used_bytes(disk) + random.randint(0, 200)
    schedule(fleet, random.uniform(300, 3000), reset_disk_capacity, disk)


def reset_disk_capacity(disk):
    """Restore a disk's capacity."""
    disk.capacity_bytes = 1 << 40


def slow_down_disk(fleet, random):
    """Slow down a daemon's disk for a while."""
    disk = fleet.daemons[any_daemon(fleet, random)].disk
    disk.delay_ms = random.choice([50, 400, 1500, 3500])
    schedule(fleet, random.uniform(500, 4500), reset_disk_speed, disk)


def reset_disk_speed(disk):
    """Restore a disk's normal speed."""
    disk.delay_ms = 3.0
