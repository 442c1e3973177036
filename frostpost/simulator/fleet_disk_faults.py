"""Faults of the whole-path simulation that strike disks."""

from . import drives
from .fleet import kill, later, revive


def any_daemon(fleet, random, role=None):
    """Return the name of a random daemon, of a role if one is given."""
    return random.choice([n for n, d in fleet.daemons.items() if role in (None, d.settings.role)])


def whole(fleet, lost):
    """Tell whether a majority of storage daemons without one holds full copies."""
    full = [
        n
        for n, d in fleet.daemons.items()
        if d.settings.role == "storage"
        and n != lost
        and d.host.alive
        and d.ctx is not None
        and d.ctx.core.synchrony.primary.ready
        and d.ctx.core.synchrony.primary.opened
    ]
    return len(full) * 2 > sum(d.settings.role == "storage" for d in fleet.daemons.values())


def lose_disk(fleet, random):
    """Replace one storage daemon's disk by an empty one."""
    name = any_daemon(fleet, random, "storage")
    if not whole(fleet, name):
        return
    kill(fleet, name, True)
    drives.wipe(fleet.daemons[name].drive)
    later(fleet, random.uniform(50, 2000), revive, fleet, name)


def rot_disk(fleet, random):
    """Damage a file on one storage daemon's disk."""
    name = any_daemon(fleet, random, "storage")
    if not whole(fleet, name):
        return
    kill(fleet, name)
    drives.rot(fleet.daemons[name].drive, f"/{name}/{random.choice(('log', 'bodies'))}", random)
    later(fleet, random.uniform(50, 1000), revive, fleet, name)


def disk_faults(fleet, random):
    """Let the next calls to one disk fail."""
    name = any_daemon(fleet, random, "storage")
    if whole(fleet, name):
        fleet.daemons[name].drive.broken[random.choice(("write", "sync", "open", "replace"))] = random.randint(1, 3)


def full_disk(fleet, random):
    """Fill one disk for a while."""
    drive = fleet.daemons[any_daemon(fleet, random, "storage")].drive
    drive.room = drives.used(drive) + random.randint(0, 200)
    later(fleet, random.uniform(300, 3000), make_room, drive)


def make_room(drive):
    """Give a disk its room back."""
    drive.room = 1 << 40


def slow_disk(fleet, random):
    """Slow down one disk for a while."""
    drive = fleet.daemons[any_daemon(fleet, random)].drive
    drive.delay_ms = random.choice([50, 400, 1500, 3500])
    later(fleet, random.uniform(500, 4500), quick_disk, drive)


def quick_disk(drive):
    """Give a disk its normal speed back."""
    drive.delay_ms = 3.0
