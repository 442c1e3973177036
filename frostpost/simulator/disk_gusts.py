"""Faults of the whole-path simulation that strike disks."""

from . import drives
from .valley import kill, later, revive


def any_daemon(valley, random, role=None):
    """Return the name of a random daemon, of a role if one is given."""
    return random.choice([n for n, d in valley.daemons.items() if role in (None, d.settings.role)])


def whole(valley, lost):
    """Tell whether a majority of storage daemons without one holds full copies."""
    full = [
        n
        for n, d in valley.daemons.items()
        if d.settings.role == "storage"
        and n != lost
        and d.host.alive
        and d.ctx is not None
        and d.ctx.core.synchrony.primary.ready
        and d.ctx.core.synchrony.primary.opened
    ]
    return len(full) * 2 > sum(d.settings.role == "storage" for d in valley.daemons.values())


def lose_disk(valley, random):
    """Replace one storage daemon's disk by an empty one."""
    name = any_daemon(valley, random, "storage")
    if not whole(valley, name):
        return
    kill(valley, name, True)
    drives.wipe(valley.daemons[name].drive)
    later(valley, random.uniform(50, 2000), revive, valley, name)


def rot_disk(valley, random):
    """Damage a file on one storage daemon's disk."""
    name = any_daemon(valley, random, "storage")
    if not whole(valley, name):
        return
    kill(valley, name)
    drives.rot(valley.daemons[name].drive, f"/{name}/{random.choice(('log', 'bodies'))}", random)
    later(valley, random.uniform(50, 1000), revive, valley, name)


def disk_faults(valley, random):
    """Let the next calls to one disk fail."""
    name = any_daemon(valley, random, "storage")
    if whole(valley, name):
        valley.daemons[name].drive.broken[random.choice(("write", "sync", "open", "replace"))] = random.randint(1, 3)


def full_disk(valley, random):
    """Fill one disk for a while."""
    drive = valley.daemons[any_daemon(valley, random, "storage")].drive
    drive.room = drives.used(drive) + random.randint(0, 200)
    later(valley, random.uniform(300, 3000), make_room, drive)


def make_room(drive):
    """Give a disk its room back."""
    drive.room = 1 << 40


def slow_disk(valley, random):
    """Slow down one disk for a while."""
    drive = valley.daemons[any_daemon(valley, random)].drive
    drive.delay_ms = random.choice([50, 400, 1500, 3500])
    later(valley, random.uniform(500, 4500), quick_disk, drive)


def quick_disk(drive):
    """Give a disk its normal speed back."""
    drive.delay_ms = 3.0
