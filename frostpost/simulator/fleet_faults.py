"""Faults of the whole-path simulation: each is a function of (fleet, random)."""

from frostpost.testbed import platform as platforms

from . import fleet as fleets
from . import fleet_calls, simulated_disk
from .fleet import kill, schedule, shut_down, start_if_down
from .fleet_disk_faults import (
    any_daemon,
    corrupt_disk,
    fail_disk_calls,
    fill_disk,
    has_majority_without,
    lose_disk,
    reset_disk_capacity,
    reset_disk_speed,
    slow_down_disk,
)


def kill_one(fleet, random, power=False):
    """Kill a daemon, or cut its power, and start it again later."""
    name = any_daemon(fleet, random)
    kill(fleet, name, power)
    schedule(fleet, random.uniform(50, 3000), start_if_down, fleet, name)


def cut_power_of_one(fleet, random):
    """Cut a daemon's power and start it again later."""
    kill_one(fleet, random, True)


def stop_all(fleet, random):
    """Kill all daemons or cut their power, and in half of the cases lose one disk."""
    power = random.random() < 0.5
    lost = any_daemon(fleet, random, "storage")
    for name in fleet.daemons:
        kill(fleet, name, power)
        schedule(fleet, random.uniform(100, 1500), start_if_down, fleet, name)
    if random.random() < 0.5 and has_majority_without(fleet, lost):
        simulated_disk.wipe(fleet.daemons[lost].disk)


def freeze_one(fleet, random):
    """Freeze a daemon for a while."""
    host = fleet.daemons[any_daemon(fleet, random)].host
    host.freeze()
    schedule(fleet, random.uniform(50, 4000), host.thaw)


def freeze_edge(fleet, random):
    """Freeze an edge daemon for longer than a lease."""
    host = fleet.daemons[any_daemon(fleet, random, "edge")].host
    host.freeze()
    schedule(fleet, random.uniform(3000, 7000), host.thaw)


def cut_power_after_turn(fleet, random):
    """Cut the power of all storage daemons right after the next turn is answered."""

    def on_event(event):
        if event["kind"] == "answered" and event["status"] == 200 and "end" in (event["lines"] or [{}])[-1]:
            fleet.notes.on_event = None
            schedule(fleet, 0, cut_power_of_storage, fleet, random)

    fleet.notes.on_event = on_event


def cut_power_of_storage(fleet, random):
    """Cut the power of all storage daemons."""
    for name, daemon in fleet.daemons.items():
        if daemon.settings.role == "storage":
            kill(fleet, name, True)
            schedule(fleet, random.uniform(50, 500), start_if_down, fleet, name)


def freeze_runner(fleet, random):
    """Freeze a runner for a while."""
    address = random.choice(sorted(fleet.runners))
    fleet.net.hosts[address].freeze()
    fleet.runners[address].frozen_ms = int(fleets.clock_ms(fleet))
    schedule(fleet, random.uniform(50, 4000), thaw_runner, fleet, address)


def thaw_runner(fleet, address):
    """Unfreeze a runner."""
    fleet.net.hosts[address].thaw()
    schedule(fleet, 60, clear_frozen_time, fleet.runners[address])


def clear_frozen_time(runner):
    """Clear the time at which a runner was frozen."""
    runner.frozen_ms = 0


def cut_links(fleet, left, right, one_way=False):
    """Cut the links between two groups of daemons, or only those from the first to the second."""
    for sender in left:
        for receiver in right:
            source, destination = fleet.daemons[sender].host.address, fleet.daemons[receiver].host.address
            fleet.net.cuts |= {(source, destination)} if one_way else {(source, destination), (destination, source)}


def partition(fleet, random):
    """Partition the network into two random groups of daemons for a while."""
    names = list(fleet.daemons)
    random.shuffle(names)
    split_index = random.randint(1, len(names) - 1)
    cut_links(fleet, names[:split_index], names[split_index:], random.random() < 0.3)
    schedule(fleet, random.uniform(100, 4000), fleet.net.cuts.clear)


def cut_pairs(fleet, random):
    """Cut the links between a few pairs of daemons for a while."""
    for _ in range(random.randint(1, 3)):
        left, right = random.sample(sorted(fleet.daemons), 2)
        cut_links(fleet, [left], [right], random.random() < 0.5)
    schedule(fleet, random.uniform(100, 4000), fleet.net.cuts.clear)


def isolate_zone(fleet, random):
    """Isolate a zone for a while."""
    zone = random.choice("abc")
    inside = [n for n, d in fleet.daemons.items() if d.settings.zone == zone]
    cut_links(fleet, inside, [n for n in fleet.daemons if n not in inside])
    schedule(fleet, random.uniform(100, 4000), fleet.net.cuts.clear)


def isolate_core(fleet, random):
    """Isolate the core daemons for a while."""
    core = [n for n, d in fleet.daemons.items() if d.settings.role == "core"]
    cut_links(fleet, core, [n for n in fleet.daemons if n not in core])
    schedule(fleet, random.uniform(100, 4000), fleet.net.cuts.clear)


def jump_clock(fleet, random):
    """Shift a daemon's wall clock."""
    daemon = fleet.daemons[any_daemon(fleet, random)]
    daemon.wall_offset_s += random.choice((-7200, -30, 30, 7200))


def restart_one(fleet, random):
    """Restart a daemon as in a rolling update: shut it down, kill it after 32 s, and start it once it has exited."""
    name = any_daemon(fleet, random)
    if all(fleet_calls.is_ready(fleet, n) for n in fleet.daemons):
        shut_down(fleet, name)
        schedule(fleet, 32000, kill, fleet, name)
        start_after_exit(fleet, name)


def start_after_exit(fleet, name):
    """Start a daemon once it has exited."""
    if fleet.daemons[name].host.alive:
        schedule(fleet, 200, start_after_exit, fleet, name)
    else:
        fleets.start(fleet, name)


def delay_platform_list(fleet, random):
    """Make the platform's runner list stale for a while."""
    fleet.platform.lag_s = random.choice((0.5, 3.0, 6.0))
    schedule(fleet, random.uniform(500, 5000), reset_platform, fleet)


def reset_platform(fleet):
    """Restore the normal lag and rate limit of the platform's runner list."""
    fleet.platform.lag_s, fleet.platform.per_second = 0.5, 4.0


def throttle_platform(fleet, random):
    """Make the platform refuse most requests for a while."""
    fleet.platform.per_second = fleet.platform.tokens = 0.2
    schedule(fleet, random.uniform(500, 4000), reset_platform, fleet)


def publish_runners(fleet):
    """Publish the current runner list on the platform."""
    platforms.publish(fleet.platform, list(fleet.listed_runners))


DAEMON_FAULTS = {
    "kill": kill_one,
    "power": cut_power_of_one,
    "all_down": stop_all,
    "lose_disk": lose_disk,
    "rot_disk": corrupt_disk,
    "disk_faults": fail_disk_calls,
    "full_disk": fill_disk,
    "slow_disk": slow_down_disk,
    "freeze": freeze_one,
    "cut": partition,
    "pairs": cut_pairs,
    "zone": isolate_zone,
    "cut_core": isolate_core,
    "jump_clock": jump_clock,
    "freeze_edge": freeze_edge,
    "power_after_end": cut_power_after_turn,
}
PLATFORM_FAULTS = {
    "platform_stale": delay_platform_list,
    "platform_busy": throttle_platform,
    "freeze_runner": freeze_runner,
}


def heal(fleet):
    """End all faults and start the daemons that are down."""
    fleet.net.cuts.clear()
    reset_platform(fleet)
    for name, daemon in fleet.daemons.items():
        reset_disk_speed(daemon.disk)
        reset_disk_capacity(daemon.disk)
        daemon.disk.failing.clear()
        daemon.host.thaw()
        start_if_down(fleet, name)
    for address, runner in fleet.runners.items():
        thaw_runner(fleet, address)
        runner.mode = "well"
