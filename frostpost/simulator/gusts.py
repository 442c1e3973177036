"""Faults of the whole-path simulation: each is a function of (valley, random)."""

from frostpost.testbed import platform as platforms

from . import drives, valley_calls
from . import valley as valleys
from .disk_gusts import any_daemon, disk_faults, full_disk, lose_disk, make_room, quick_disk, rot_disk, slow_disk, whole
from .valley import kill, later, revive, warn


def kill_one(valley, random, power=False):
    """Kill one daemon and start it again later."""
    name = any_daemon(valley, random)
    kill(valley, name, power)
    later(valley, random.uniform(50, 3000), revive, valley, name)


def power_one(valley, random):
    """Cut one daemon's power."""
    kill_one(valley, random, True)


def all_down(valley, random):
    """Take all daemons down, with or without power, and maybe lose one disk."""
    power = random.random() < 0.5
    lost = any_daemon(valley, random, "storage")
    for name in valley.daemons:
        kill(valley, name, power)
        later(valley, random.uniform(100, 1500), revive, valley, name)
    if random.random() < 0.5 and whole(valley, lost):
        drives.wipe(valley.daemons[lost].drive)


def freeze_one(valley, random):
    """Freeze one daemon for a while."""
    host = valley.daemons[any_daemon(valley, random)].host
    host.freeze()
    later(valley, random.uniform(50, 4000), host.thaw)


def freeze_edge(valley, random):
    """Freeze one edge daemon for longer than a lease."""
    host = valley.daemons[any_daemon(valley, random, "edge")].host
    host.freeze()
    later(valley, random.uniform(3000, 7000), host.thaw)


def power_after_end(valley, random):
    """Cut the power of all storage daemons right after the next turn is answered."""

    def told(note):
        if note["kind"] == "answered" and note["status"] == 200 and "end" in (note["lines"] or [{}])[-1]:
            valley.notes.tap = None
            later(valley, 0, every_voter_down, valley, random)

    valley.notes.tap = told


def every_voter_down(valley, random):
    """Cut the power of all storage daemons."""
    for name, daemon in valley.daemons.items():
        if daemon.settings.role == "storage":
            kill(valley, name, True)
            later(valley, random.uniform(50, 500), revive, valley, name)


def freeze_runner(valley, random):
    """Freeze one runner for a while."""
    address = random.choice(sorted(valley.backs))
    valley.net.hosts[address].freeze()
    valley.backs[address].frozen_ms = int(valleys.clock_ms(valley))
    later(valley, random.uniform(50, 4000), thaw_runner, valley, address)


def thaw_runner(valley, address):
    """Let a frozen runner go on."""
    valley.net.hosts[address].thaw()
    later(valley, 60, awake, valley.backs[address])


def awake(runner):
    """Forget that a runner was frozen."""
    runner.frozen_ms = 0


def cut(valley, left, right, one_way=False):
    """Cut the links between two groups of daemons."""
    for a in left:
        for b in right:
            x, y = valley.daemons[a].host.address, valley.daemons[b].host.address
            valley.net.cuts |= {(x, y)} if one_way else {(x, y), (y, x)}


def cut_some(valley, random):
    """Cut the network in two."""
    names = list(valley.daemons)
    random.shuffle(names)
    at = random.randint(1, len(names) - 1)
    cut(valley, names[:at], names[at:], random.random() < 0.3)
    later(valley, random.uniform(100, 4000), valley.net.cuts.clear)


def cut_pairs(valley, random):
    """Cut a few links between pairs."""
    for _ in range(random.randint(1, 3)):
        a, b = random.sample(sorted(valley.daemons), 2)
        cut(valley, [a], [b], random.random() < 0.5)
    later(valley, random.uniform(100, 4000), valley.net.cuts.clear)


def cut_zone(valley, random):
    """Cut one zone off."""
    zone = random.choice("abc")
    inside = [n for n, d in valley.daemons.items() if d.settings.zone == zone]
    cut(valley, inside, [n for n in valley.daemons if n not in inside])
    later(valley, random.uniform(100, 4000), valley.net.cuts.clear)


def cut_core(valley, random):
    """Cut the core daemons off."""
    core = [n for n, d in valley.daemons.items() if d.settings.role == "core"]
    cut(valley, core, [n for n in valley.daemons if n not in core])
    later(valley, random.uniform(100, 4000), valley.net.cuts.clear)


def jump_clock(valley, random):
    """Let one daemon's wall clock jump."""
    daemon = valley.daemons[any_daemon(valley, random)]
    daemon.wall_s += random.choice((-7200, -30, 30, 7200))


def roll(valley, random):
    """Restart one daemon as in a roll-out."""
    name = any_daemon(valley, random)
    if all(valley_calls.ready(valley, n) for n in valley.daemons):
        warn(valley, name)
        later(valley, 32000, kill, valley, name)
        follow(valley, name)


def follow(valley, name):
    """Start a daemon again once it has stopped."""
    if valley.daemons[name].host.alive:
        later(valley, 200, follow, valley, name)
    else:
        valleys.start(valley, name)


def platform_stale(valley, random):
    """Let the platform's list lag for a while."""
    valley.platform.lag_s = random.choice((0.5, 3.0, 6.0))
    later(valley, random.uniform(500, 5000), platform_well, valley)


def platform_well(valley):
    """Let the platform's list be normal again."""
    valley.platform.lag_s, valley.platform.per_second = 0.5, 4.0


def platform_busy(valley, random):
    """Let the platform refuse most requests for a while."""
    valley.platform.per_second = valley.platform.tokens = 0.2
    later(valley, random.uniform(500, 4000), platform_well, valley)


def show(valley):
    """Publish the current list of runners."""
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
    """End all faults and start every daemon."""
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
