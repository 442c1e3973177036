"""Faults of the whole-path simulation: each is a function of (fleet, random)."""

from frostpost.testbed import platform as platforms

from . import drives, fleet_calls
from . import fleet as fleets
from .fleet import kill, later, revive, warn
from .fleet_disk_faults import (
    any_daemon,
    disk_faults,
    full_disk,
    lose_disk,
    make_room,
    quick_disk,
    rot_disk,
    slow_disk,
    whole,
)


def kill_one(fleet, random, power=False):
    """Kill one daemon and start it again later."""
    name = any_daemon(fleet, random)
    kill(fleet, name, power)
    later(fleet, random.uniform(50, 3000), revive, fleet, name)


def power_one(fleet, random):
    """Cut one daemon's power."""
    kill_one(fleet, random, True)


def all_down(fleet, random):
    """Take all daemons down, with or without power, and maybe lose one disk."""
    power = random.random() < 0.5
    lost = any_daemon(fleet, random, "storage")
    for name in fleet.daemons:
        kill(fleet, name, power)
        later(fleet, random.uniform(100, 1500), revive, fleet, name)
    if random.random() < 0.5 and whole(fleet, lost):
        drives.wipe(fleet.daemons[lost].drive)


def freeze_one(fleet, random):
    """Freeze one daemon for a while."""
    host = fleet.daemons[any_daemon(fleet, random)].host
    host.freeze()
    later(fleet, random.uniform(50, 4000), host.thaw)


def freeze_edge(fleet, random):
    """Freeze one edge daemon for longer than a lease."""
    host = fleet.daemons[any_daemon(fleet, random, "edge")].host
    host.freeze()
    later(fleet, random.uniform(3000, 7000), host.thaw)


def power_after_end(fleet, random):
    """Cut the power of all storage daemons right after the next turn is answered."""

    def told(note):
        if note["kind"] == "answered" and note["status"] == 200 and "end" in (note["lines"] or [{}])[-1]:
            fleet.notes.on_event = None
            later(fleet, 0, every_voter_down, fleet, random)

    fleet.notes.on_event = told


def every_voter_down(fleet, random):
    """Cut the power of all storage daemons."""
    for name, daemon in fleet.daemons.items():
        if daemon.settings.role == "storage":
            kill(fleet, name, True)
            later(fleet, random.uniform(50, 500), revive, fleet, name)


def freeze_runner(fleet, random):
    """Freeze one runner for a while."""
    address = random.choice(sorted(fleet.backs))
    fleet.net.hosts[address].freeze()
    fleet.backs[address].frozen_ms = int(fleets.clock_ms(fleet))
    later(fleet, random.uniform(50, 4000), thaw_runner, fleet, address)


def thaw_runner(fleet, address):
    """Let a frozen runner go on."""
    fleet.net.hosts[address].thaw()
    later(fleet, 60, awake, fleet.backs[address])


def awake(runner):
    """Forget that a runner was frozen."""
    runner.frozen_ms = 0


def cut(fleet, left, right, one_way=False):
    """Cut the links between two groups of daemons."""
    for a in left:
        for b in right:
            x, y = fleet.daemons[a].host.address, fleet.daemons[b].host.address
            fleet.net.cuts |= {(x, y)} if one_way else {(x, y), (y, x)}


def cut_some(fleet, random):
    """Cut the network in two."""
    names = list(fleet.daemons)
    random.shuffle(names)
    at = random.randint(1, len(names) - 1)
    cut(fleet, names[:at], names[at:], random.random() < 0.3)
    later(fleet, random.uniform(100, 4000), fleet.net.cuts.clear)


def cut_pairs(fleet, random):
    """Cut a few links between pairs."""
    for _ in range(random.randint(1, 3)):
        a, b = random.sample(sorted(fleet.daemons), 2)
        cut(fleet, [a], [b], random.random() < 0.5)
    later(fleet, random.uniform(100, 4000), fleet.net.cuts.clear)


def cut_zone(fleet, random):
    """Cut one zone off."""
    zone = random.choice("abc")
    inside = [n for n, d in fleet.daemons.items() if d.settings.zone == zone]
    cut(fleet, inside, [n for n in fleet.daemons if n not in inside])
    later(fleet, random.uniform(100, 4000), fleet.net.cuts.clear)


def cut_core(fleet, random):
    """Cut the core daemons off."""
    core = [n for n, d in fleet.daemons.items() if d.settings.role == "core"]
    cut(fleet, core, [n for n in fleet.daemons if n not in core])
    later(fleet, random.uniform(100, 4000), fleet.net.cuts.clear)


def jump_clock(fleet, random):
    """Let one daemon's wall clock jump."""
    daemon = fleet.daemons[any_daemon(fleet, random)]
    daemon.wall_s += random.choice((-7200, -30, 30, 7200))


def roll(fleet, random):
    """Restart one daemon as in a roll-out."""
    name = any_daemon(fleet, random)
    if all(fleet_calls.ready(fleet, n) for n in fleet.daemons):
        warn(fleet, name)
        later(fleet, 32000, kill, fleet, name)
        follow(fleet, name)


def follow(fleet, name):
    """Start a daemon again once it has stopped."""
    if fleet.daemons[name].host.alive:
        later(fleet, 200, follow, fleet, name)
    else:
        fleets.start(fleet, name)


def platform_stale(fleet, random):
    """Let the platform's list lag for a while."""
    fleet.platform.lag_s = random.choice((0.5, 3.0, 6.0))
    later(fleet, random.uniform(500, 5000), platform_well, fleet)


def platform_well(fleet):
    """Let the platform's list be normal again."""
    fleet.platform.lag_s, fleet.platform.per_second = 0.5, 4.0


def platform_busy(fleet, random):
    """Let the platform refuse most requests for a while."""
    fleet.platform.per_second = fleet.platform.tokens = 0.2
    later(fleet, random.uniform(500, 4000), platform_well, fleet)


def show(fleet):
    """Publish the current list of runners."""
    platforms.publish(fleet.platform, list(fleet.rows))


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


def heal(fleet):
    """End all faults and start every daemon."""
    fleet.net.cuts.clear()
    platform_well(fleet)
    for name, daemon in fleet.daemons.items():
        quick_disk(daemon.drive)
        make_room(daemon.drive)
        daemon.drive.broken.clear()
        daemon.host.thaw()
        revive(fleet, name)
    for address, runner in fleet.backs.items():
        thaw_runner(fleet, address)
        runner.mode = "well"
