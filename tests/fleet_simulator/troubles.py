"""Faults injected into daemons: crashes, pauses, lost disks, disk faults and replacements."""

from frostpost.simulator import simulated_disk

from . import world as worlds
from .bearing import lasting_ms, victim
from .notes import Trouble

SEED_LAG_MS = 3000


def begin(world, kind, names):
    """Record the start of a fault or planned work on the named daemons."""
    trouble = Trouble(kind, tuple(names), world.now_ms())
    world.notes.troubles.append(trouble)
    return trouble


def over(world, trouble):
    trouble.until_ms = world.now_ms()


def back(world, daemon, trouble):
    """Start a daemon again and record the end of its fault."""
    worlds.start(world, daemon)
    over(world, trouble)


def kill_one(world, random, *roles, power=None):
    daemon = victim(world, random, *(roles or ("storage", "core", "edge")))
    if daemon is None:
        return
    trouble = begin(world, "kill", [daemon.name])
    worlds.kill(world, daemon, random.random() < 0.5 if power is None else power)
    world.later(random.uniform(200, 3000), back, world, daemon, trouble)


def kill_storage(world, random):
    kill_one(world, random, "storage")


def kill_edge(world, random):
    kill_one(world, random, "edge")


def wipe_one(world, random, *roles):
    daemon = victim(world, random, *(roles or ("storage", "core")))
    if daemon is None:
        return
    trouble = begin(world, "wipe", [daemon.name])
    worlds.wipe(world, daemon)
    world.later(random.uniform(200, 2000), back, world, daemon, trouble)


def freeze_one(world, random, *roles):
    daemon = victim(world, random, *(roles or ("storage", "core", "edge")))
    if daemon is None:
        return
    trouble = begin(world, "freeze", [daemon.name])
    daemon.host.freeze()
    world.later(lasting_ms(random), thaw, world, daemon, daemon.host.generation, trouble)


def freeze_storage(world, random):
    freeze_one(world, random, "storage")


def freeze_edge(world, random):
    freeze_one(world, random, "edge")


def thaw(world, daemon, life, trouble):
    if daemon.host.generation == life:
        daemon.host.thaw()
    over(world, trouble)


def slow_disk(world, random):
    daemon = victim(world, random, "storage", "core")
    if daemon is None:
        return
    trouble = begin(world, "slow disk", [daemon.name])
    daemon.disk.delay_ms = random.choice((50, 400, 2000))
    world.later(random.uniform(500, 4000), disk_well, world, daemon, trouble)


def bad_disk(world, random):
    daemon = victim(world, random, "storage")
    if daemon is None:
        return
    trouble = begin(world, "bad disk", [daemon.name])
    daemon.disk.failing[random.choice(("write", "sync", "open"))] = random.randint(1, 3)
    world.later(2500, disk_well, world, daemon, trouble)


def disk_well(world, daemon, trouble):
    """Restore normal disk operation; the fault ends once the last slow call has completed."""
    setattr(daemon.disk, worlds.DELAY, worlds.DISK_MS)
    daemon.disk.capacity_bytes = worlds.DISK_ROOM
    daemon.disk.failing.clear()
    slow_jobs = list(daemon.host.jobs)

    def check():
        if any(job in daemon.host.jobs for job in slow_jobs):
            world.later(50, check)
        else:
            over(world, trouble)

    check()


def name_as_seed(world, daemon, replacement):
    """Replace the seed address of a control daemon by its successor's after `SEED_LAG_MS`."""
    if daemon.role != "core":
        return
    old, new = f"{daemon.host.address}:{worlds.CONTROL}", f"{replacement.host.address}:{worlds.CONTROL}"

    def replace_seed():
        world.seeds[:] = [new if seed == old else seed for seed in world.seeds]

    world.later(SEED_LAG_MS, replace_seed)


def replace_one(world, random):
    """Replace a daemon by an empty one at another address."""
    daemon = victim(world, random, "storage", "core")
    if daemon is None:
        return
    worlds.wipe(world, daemon)
    trouble = begin(world, "replace", [daemon.name])
    daemon.gone = True
    world.serial += 1
    replacement = worlds.add(world, f"{daemon.role}-{daemon.zone}-x{world.serial}", daemon.role, daemon.zone)
    replacement.first = False
    trouble.names = (daemon.name, replacement.name)
    name_as_seed(world, daemon, replacement)
    world.later(random.uniform(300, 3000), back, world, replacement, trouble)


def after_ack(world, random):
    """Power off or wipe a daemon right after a turn completed."""

    def on_completed(request):
        world.notes.tap = lambda request: None
        daemon = victim(world, random, "storage", "edge")
        if daemon is None:
            return
        trouble = begin(world, "after ack", [daemon.name])
        if random.random() < 0.5:
            worlds.wipe(world, daemon)
        else:
            worlds.kill(world, daemon, True)
        world.later(random.uniform(200, 2000), back, world, daemon, trouble)

    world.notes.tap = on_completed


def storage_power(world, random):
    """Power off all storage daemons at once and restart them with their disks intact."""
    daemons = [d for d in world.of("storage") if d.host.alive]
    trouble = begin(world, "storage power", [d.name for d in daemons])
    for daemon in daemons:
        worlds.kill(world, daemon, True)
        world.later(random.uniform(100, 1500), back, world, daemon, trouble)


def freeze_many(world, random):
    for daemon in world.of("storage", "edge", "core"):
        if random.random() < 0.4 and daemon.host.alive:
            trouble = begin(world, "freeze many", [daemon.name])
            daemon.host.freeze()
            world.later(random.uniform(100, 4000), thaw, world, daemon, daemon.host.generation, trouble)


def all_down(world, random, power, wiped=0):
    """Stop all daemons at once and wipe some storage disks. Returns the ms until the last one restarts."""
    trouble = begin(world, "all down", [d.name for d in world.daemons.values()])
    daemons = [d for d in world.daemons.values() if not d.gone]
    for daemon in daemons:
        worlds.kill(world, daemon, power)
    storage_daemons = [d for d in daemons if d.role == "storage"]
    for daemon in random.sample(storage_daemons, wiped):
        simulated_disk.wipe(daemon.disk)
    delays_ms = [random.uniform(200, 2000) for _ in daemons]
    for daemon, delay_ms in zip(daemons, delays_ms, strict=True):
        world.later(delay_ms, worlds.start, world, daemon)
    world.later(max(delays_ms), over, world, trouble)
    return max(delays_ms)
