"""Simulation of the whole request path: daemons, callers, runners and the runner list on simulated machines."""

from random import Random

from msgspec import Struct, convert
from twisted.internet.endpoints import TCP4ServerEndpoint

from frostpost.app.assembly import assemble, start_daemon
from frostpost.daemon.lifecycle import DaemonProcess, make_lifecycle
from frostpost.daemon.machine import Machine
from frostpost.daemon.settings import Settings
from frostpost.testbed import platform as platforms
from frostpost.testbed import runner as runners
from frostpost.testbed.event_log import EventLog

from . import simulated_disk
from .hosts import Host
from .net import Net

CONTROL_PORT, HTTP_PORT = 7000, 8000
POOLS = (("hmodel", 3, 12), ("hlookup", 2, 24), ("tmodel", 2, 12), ("tlookup", 2, 24))


class Daemon(Struct):
    """A daemon with its machine, its disk and the exit statuses of its processes."""

    host: Host
    settings: Settings
    disk: simulated_disk.SimulatedDisk
    ctx: object = None
    process: object = None
    exits: list = []
    wall_offset_s: float = 1.8e9


class SimulatedFleet(Struct):
    """The machines, daemons, runners and records of a simulation; `runners` is keyed by address."""

    seed: int
    random: Random
    net: Net
    daemons: dict[str, Daemon] = {}
    runners: dict[str, object] = {}
    listed_runners: list[dict] = []
    platform: object = None
    crowd: object = None
    callers: Host | None = None
    notes: EventLog | None = None
    runner_notes: EventLog | None = None
    trace: list = []
    planned: list = []
    parameter_changes: int = 0


def add_host(fleet, name, zone):
    """Add a machine to the network and return it."""
    address = f"127.1.0.{len(fleet.net.hosts) + 1}"
    host = Host(fleet.net, name, address, zone)
    fleet.net.hosts[address] = host
    return host


def create_settings(name, role, zone, address, seeds, voters, bounds, doors):
    """Return a daemon's settings."""
    return convert(
        {
            "name": name,
            "role": role,
            "zone": zone,
            "host": address,
            "port": CONTROL_PORT,
            "http_port": HTTP_PORT,
            "seeds": seeds,
            "voters": voters,
            "data": f"/{name}" if role == "storage" else "",
            "list": "http://127.1.0.1:80/runners",
            "bounds": bounds,
            "doors": doors,
        },
        Settings,
    )


def create_fleet(seed, edges=2, storages=3, cores=2, bounds=None, pools=POOLS, doors=None):
    """Return a fleet with all daemons and runners started."""
    random = Random(seed)
    fleet = SimulatedFleet(seed, random, Net(random))
    seconds = fleet.net.clock.seconds
    fleet.notes, fleet.runner_notes = EventLog(None, seconds), EventLog(None, seconds)
    start_platform(fleet)
    fleet.callers = add_host(fleet, "callers", "a")
    start_runners(fleet, pools)
    names = [
        (letter + str(n + 1), role, "abc"[n % 3])
        for role, letter, count in (("storage", "s", storages), ("core", "c", cores), ("edge", "e", edges))
        for n in range(count)
    ]
    voters = [n for n, role, _ in names if role == "storage"]
    hosts = {name: add_host(fleet, name, zone) for name, _, zone in names}
    seeds = [f"{hosts[n].address}:{CONTROL_PORT}" for n, role, _ in names if role != "edge"][:3]
    for name, role, zone in names:
        add_daemon(fleet, name, role, zone, hosts[name], seeds, voters, bounds or {}, doors)
    for name in fleet.daemons:
        start(fleet, name)
    return fleet


def add_daemon(fleet, name, role, zone, host, seeds, voters, bounds, doors=None):
    """Add a daemon without starting it."""
    settings = create_settings(name, role, zone, host.address, seeds, voters, bounds, doors or {})
    disk = simulated_disk.SimulatedDisk(Random(fleet.random.random()))
    fleet.daemons[name] = Daemon(host, settings, disk)
    host.thread_ms = lambda: disk.delay_ms * (0.5 + fleet.random.random())


def start_platform(fleet):
    """Start the platform's runner list."""
    host = add_host(fleet, "platform", "a")
    fleet.platform = platforms.Platform(lag_s=0.5, seconds=fleet.net.clock.seconds)
    listen(host, 80, platforms.build(fleet.platform, host))


def listen(host, port, site):
    """Serve an HTTP site on a port."""
    TCP4ServerEndpoint(host, port).listen(site)


def start_runners(fleet, pools):
    """Start the runners of all pools."""
    for pool, count, capacity in pools:
        for n in range(count):
            host = add_host(fleet, f"{pool}{n + 1}", "abc"[n % 3])
            start_runner(fleet, host, f"{pool}{n + 1}", pool, capacity)
    platforms.publish(fleet.platform, list(fleet.listed_runners))
    fleet.platform.published[0] = (-1.0, list(fleet.listed_runners))


def start_runner(fleet, host, name, pool, capacity, listed=True, careless=False):
    """Start a runner and add it to the runner list, unless `listed` is false; returns the runner."""
    serial = len(fleet.runner_notes.lines) + len(fleet.runners)
    runner = runners.Runner(
        name, f"i{serial}-{len(fleet.runners)}", pool, host.zone, capacity, fleet.random.randrange(1 << 30)
    )
    runner.careless = careless
    fleet.runners[host.address] = runner
    listen(host, 80, runners.build(host, runner, fleet.runner_notes))
    row = {
        "name": name,
        "instance": runner.instance,
        "host": host.address,
        "port": 80,
        "pool": pool,
        "zone": host.zone,
        "room": capacity,
    }
    if listed:
        fleet.listed_runners = [
            other for other in fleet.listed_runners if other["name"] != name and other["host"] != host.address
        ] + [row]
    return runner


def machine_of(fleet, daemon):
    """Return the clocks, threads and files that a daemon uses on its simulated machine."""
    token_random = Random(fleet.random.random())
    return Machine(
        seconds=daemon.host.seconds,
        wall_s=lambda: daemon.wall_offset_s + daemon.host.seconds(),
        in_thread=daemon.host.in_thread,
        token=lambda size: token_random.randbytes(size).hex(),
        sleep=lambda wait_s: None,
        files=simulated_disk.files_of(daemon.disk),
    )


def start(fleet, name):
    """Boot a daemon's machine and start the daemon."""
    daemon = fleet.daemons[name]
    daemon.host.boot()
    try:
        daemon.ctx, site = assemble(daemon.settings, daemon.host, machine_of(fleet, daemon))
    except OSError as error:
        return on_exit(fleet, name, type(error).__name__)
    daemon.process = DaemonProcess(daemon.ctx, lambda: daemon.host.callLater(0, on_exit, fleet, name, None))
    daemon.ctx.lifecycle = make_lifecycle(daemon.process)
    start_daemon(daemon.ctx, site, daemon.process, lambda failure: on_exit(fleet, name, failure.type.__name__))


def on_exit(fleet, name, error):
    """Record a daemon's exit; restart the daemon after a second if it failed."""
    daemon = fleet.daemons[name]
    status = daemon.process.status if error is None else error
    daemon.exits.append(status)
    for job in daemon.host.terminate():
        simulated_disk.kill(daemon.disk, [job])
    if status != 0:
        schedule(fleet, 1000, start_if_down, fleet, name)


def kill(fleet, name, power=False):
    """Kill a daemon, or cut its power."""
    daemon = fleet.daemons[name]
    if not daemon.host.alive:
        return
    jobs = daemon.host.terminate(power)
    (simulated_disk.lose_power if power else simulated_disk.kill)(daemon.disk, jobs)


def start_if_down(fleet, name):
    """Start a daemon if it is down."""
    if not fleet.daemons[name].host.alive:
        start(fleet, name)


def shut_down(fleet, name):
    """Request a daemon's graceful shutdown."""
    daemon = fleet.daemons[name]
    if daemon.host.alive:
        daemon.host.dispatch(daemon.ctx.lifecycle.shut_down)


def schedule(fleet, delay_ms, call, *args):
    """Schedule a call on the simulation's clock; returns the delayed call."""
    return fleet.net.clock.callLater(delay_ms / 1000, call, *args)


def clock_ms(fleet):
    """Return the virtual time in milliseconds."""
    return fleet.net.clock.seconds() * 1000


def run(fleet, until_ms):
    """Run all machines up to a virtual time in milliseconds."""
    net, hosts = fleet.net, list(fleet.net.hosts.values())
    while True:
        due_times_s = [net.clock.calls[0].getTime()] if net.clock.calls else []
        due_times_s += [next_s for machine in hosts if (next_s := machine.next_call_s()) is not None]
        now_s = min(due_times_s, default=until_ms / 1000)
        if now_s > until_ms / 1000:
            net.clock.advance(max(0.0, until_ms / 1000 - net.clock.seconds()))
            return
        net.clock.advance(max(0.0, now_s - net.clock.seconds()))
        if len(hosts) != len(net.hosts):
            hosts = list(net.hosts.values())
        for host in hosts:
            due_s = host.next_call_s()
            if due_s is not None and due_s <= now_s:
                host.run_due_calls()
