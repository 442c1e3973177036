from frostpost.testbed import platform as platforms

from . import drives, valley_calls
from . import valley as valleys
from .valley import kill, later, revive, warn


def any_daemon(valley, random, role=None):
    return random.choice([n for n, d in valley.daemons.items() if role in (None, d.settings.role)])


def kill_one(valley, random, power=False):
    name = any_daemon(valley, random)
    kill(valley, name, power)
    later(valley, random.uniform(50, 3000), revive, valley, name)


def power_one(valley, random):
    kill_one(valley, random, True)


def all_down(valley, random):
    power = random.random() < 0.5
    lost = any_daemon(valley, random, "storage")
    for name in valley.daemons:
        kill(valley, name, power)
        later(valley, random.uniform(100, 1500), revive, valley, name)
    if random.random() < 0.5 and whole(valley, lost):
        drives.wipe(valley.daemons[lost].drive)


def whole(valley, lost):
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
    name = any_daemon(valley, random, "storage")
    if not whole(valley, name):
        return
    kill(valley, name, True)
    drives.wipe(valley.daemons[name].drive)
    later(valley, random.uniform(50, 2000), revive, valley, name)


def rot_disk(valley, random):
    name = any_daemon(valley, random, "storage")
    if not whole(valley, name):
        return
    kill(valley, name)
    drives.rot(valley.daemons[name].drive, f"/{name}/{random.choice(('log', 'bodies'))}", random)
    later(valley, random.uniform(50, 1000), revive, valley, name)


def disk_faults(valley, random):
    name = any_daemon(valley, random, "storage")
    if whole(valley, name):
        valley.daemons[name].drive.broken[random.choice(("write", "sync", "open", "replace"))] = random.randint(1, 3)


def full_disk(valley, random):
    drive = valley.daemons[any_daemon(valley, random, "storage")].drive
    drive.room = drives.used(drive) + random.randint(0, 200)
    later(valley, random.uniform(300, 3000), make_room, drive)


def make_room(drive):
    drive.room = 1 << 40


def slow_disk(valley, random):
    drive = valley.daemons[any_daemon(valley, random)].drive
    drive.delay_ms = random.choice([50, 400, 1500, 3500])
    later(valley, random.uniform(500, 4500), quick_disk, drive)


def quick_disk(drive):
    drive.delay_ms = 3.0


def freeze_one(valley, random):
    host = valley.daemons[any_daemon(valley, random)].host
    host.freeze()
    later(valley, random.uniform(50, 4000), host.thaw)


def freeze_edge(valley, random):
    host = valley.daemons[any_daemon(valley, random, "edge")].host
    host.freeze()
    later(valley, random.uniform(3000, 7000), host.thaw)


def power_after_end(valley, random):
    def told(note):
        if note["kind"] == "answered" and note["status"] == 200 and "end" in (note["lines"] or [{}])[-1]:
            valley.notes.tap = None
            later(valley, 0, every_voter_down, valley, random)

    valley.notes.tap = told


def every_voter_down(valley, random):
    for name, daemon in valley.daemons.items():
        if daemon.settings.role == "storage":
            kill(valley, name, True)
            later(valley, random.uniform(50, 500), revive, valley, name)


def freeze_runner(valley, random):
    address = random.choice(sorted(valley.backs))
    valley.net.hosts[address].freeze()
    valley.backs[address].frozen_ms = int(valleys.clock_ms(valley))
    later(valley, random.uniform(50, 4000), thaw_runner, valley, address)


def thaw_runner(valley, address):
    valley.net.hosts[address].thaw()
    later(valley, 60, awake, valley.backs[address])


def awake(runner):
    runner.frozen_ms = 0


def cut(valley, left, right, one_way=False):
    for a in left:
        for b in right:
            x, y = valley.daemons[a].host.address, valley.daemons[b].host.address
            valley.net.cuts |= {(x, y)} if one_way else {(x, y), (y, x)}


def cut_some(valley, random):
    names = list(valley.daemons)
    random.shuffle(names)
    at = random.randint(1, len(names) - 1)
    cut(valley, names[:at], names[at:], random.random() < 0.3)
    later(valley, random.uniform(100, 4000), valley.net.cuts.clear)


def cut_pairs(valley, random):
    for _ in range(random.randint(1, 3)):
        a, b = random.sample(sorted(valley.daemons), 2)
        cut(valley, [a], [b], random.random() < 0.5)
    later(valley, random.uniform(100, 4000), valley.net.cuts.clear)


def cut_zone(valley, random):
    cell = random.choice("abc")
    inside = [n for n, d in valley.daemons.items() if d.settings.cell == cell]
    cut(valley, inside, [n for n in valley.daemons if n not in inside])
    later(valley, random.uniform(100, 4000), valley.net.cuts.clear)


def cut_core(valley, random):
    core = [n for n, d in valley.daemons.items() if d.settings.role == "core"]
    cut(valley, core, [n for n in valley.daemons if n not in core])
    later(valley, random.uniform(100, 4000), valley.net.cuts.clear)


def jump_clock(valley, random):
    daemon = valley.daemons[any_daemon(valley, random)]
    daemon.wall_s += random.choice((-7200, -30, 30, 7200))


def roll(valley, random):
    name = any_daemon(valley, random)
    if all(valley_calls.ready(valley, n) for n in valley.daemons):
        warn(valley, name)
        later(valley, 32000, kill, valley, name)
        follow(valley, name)


def follow(valley, name):
    if valley.daemons[name].host.alive:
        later(valley, 200, follow, valley, name)
    else:
        valleys.start(valley, name)


def platform_stale(valley, random):
    valley.platform.lag_s = random.choice((0.5, 3.0, 6.0))
    later(valley, random.uniform(500, 5000), platform_well, valley)


def platform_well(valley):
    valley.platform.lag_s, valley.platform.per_second = 0.5, 4.0


def platform_busy(valley, random):
    valley.platform.per_second = valley.platform.tokens = 0.2
    later(valley, random.uniform(500, 4000), platform_well, valley)


def show(valley):
    platforms.show(valley.platform, list(valley.rows))


CORE = {
    "kill": kill_one,
    "power": power_one,
    "all_down": all_down,
    "lose_disk": lose_disk,
    "rot_disk": rot_disk,
    "disk_faults": disk_faults,
    "full_disk": full_disk,
    "slow_disk": slow_disk,
    "freeze": freeze_one,
    "cut": cut_some,
    "pairs": cut_pairs,
    "zone": cut_zone,
    "cut_core": cut_core,
    "jump_clock": jump_clock,
    "freeze_edge": freeze_edge,
    "power_after_end": power_after_end,
}
PLATFORM = {"platform_stale": platform_stale, "platform_busy": platform_busy, "freeze_runner": freeze_runner}


def heal(valley):
    valley.net.cuts.clear()
    platform_well(valley)
    for name, daemon in valley.daemons.items():
        quick_disk(daemon.drive)
        make_room(daemon.drive)
        daemon.drive.broken.clear()
        daemon.host.thaw()
        revive(valley, name)
    for address, runner in valley.backs.items():
        thaw_runner(valley, address)
        runner.mode = "well"
