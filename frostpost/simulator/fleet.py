"""The whole-path simulation: real daemons, callers, runners and list on simulated machines."""

from random import Random

from msgspec import Struct, convert
from twisted.internet.endpoints import TCP4ServerEndpoint

from frostpost.app.assembly import assemble, start_daemon
from frostpost.daemon.lifecycle import DaemonProcess
from frostpost.daemon.lifecycle import make_lifecycle as make_life
from frostpost.daemon.machine import Machine
from frostpost.daemon.settings import Settings
from frostpost.testbed import platform as platforms
from frostpost.testbed import runner as runners
from frostpost.testbed.event_log import EventLog

from . import drives
from .hosts import Host
from .net import Net

PORT, HTTP = 7000, 8000
POOLS = (("hmodel", 3, 12), ("hlookup", 2, 24), ("tmodel", 2, 12), ("tlookup", 2, 24))


class Daemon(Struct):
    """A daemon with its machine and disk."""

    host: Host
    settings: Settings
    drive: drives.Drive
    ctx: object = None
    hand: object = None
    exits: list = []
    wall_s: float = 1.8e9


class SimulatedFleet(Struct):
    """All machines of a simulation."""

    seed: int
    random: Random
    net: Net
    daemons: dict[str, Daemon] = {}
    backs: dict[str, object] = {}
    rows: list[dict] = []
    platform: object = None
    crowd: object = None
    callers: Host | None = None
    notes: EventLog | None = None
    runner_notes: EventLog | None = None
    trace: list = []
    planned: list = []
    amends: int = 0


def add_host(fleet, name, zone):
    """Add a machine to the network."""
    address = f"127.1.0.{len(fleet.net.hosts) + 1}"
    host = Host(fleet.net, name, address, zone)
    fleet.net.hosts[address] = host
    return host


def settings_of(name, role, zone, address, seeds, voters, bounds, doors):
    """Return a daemon's settings."""
    return convert(
        {
            "name": name,
            "role": role,
            "zone": zone,
            "host": address,
            "port": PORT,
            "http_port": HTTP,
            "seeds": seeds,
            "voters": voters,
            "data": f"/{name}" if role == "storage" else "",
            "list": "http://127.1.0.1:80/runners",
            "bounds": bounds,
            "doors": doors,
        },
        Settings,
    )


def make(seed, edges=2, storages=3, cores=2, bounds=None, pools=POOLS, doors=None):
    """Return a simulation with all daemons started."""
    random = Random(seed)
    fleet = SimulatedFleet(seed, random, Net(random))
    seconds = fleet.net.clock.seconds
    fleet.notes, fleet.runner_notes = EventLog(None, seconds), EventLog(None, seconds)
    raise_platform(fleet)
    fleet.callers = add_host(fleet, "callers", "a")
    raise_runners(fleet, pools)
    names = [
        (letter + str(n + 1), role, "abc"[n % 3])
        for role, letter, many in (("storage", "s", storages), ("core", "c", cores), ("edge", "e", edges))
        for n in range(many)
    ]
    voters = [n for n, role, _ in names if role == "storage"]
    hosts = {name: add_host(fleet, name, zone) for name, _, zone in names}
    seeds = [f"{hosts[n].address}:{PORT}" for n, role, _ in names if role != "edge"][:3]
    for name, role, zone in names:
        add(fleet, name, role, zone, hosts[name], seeds, voters, bounds or {}, doors)
    for name in fleet.daemons:
        start(fleet, name)
    return fleet


def add(fleet, name, role, zone, host, seeds, voters, bounds, doors=None):
    """Add a daemon."""
    settings = settings_of(name, role, zone, host.address, seeds, voters, bounds, doors or {})
    drive = drives.Drive(Random(fleet.random.random()))
    fleet.daemons[name] = Daemon(host, settings, drive)
    host.thread_ms = lambda: drive.delay_ms * (0.5 + fleet.random.random())


def raise_platform(fleet):
    """Start the platform's list of runners."""
    host = add_host(fleet, "platform", "a")
    fleet.platform = platforms.Platform(lag_s=0.5, seconds=fleet.net.clock.seconds)
    listen(host, 80, platforms.build(fleet.platform, host))


def listen(host, port, site):
    """Listen with an HTTP site."""
    TCP4ServerEndpoint(host, port).listen(site)


def raise_runners(fleet, pools):
    """Start the runners of all pools."""
    for pool, many, room in pools:
        for n in range(many):
            host = add_host(fleet, f"{pool}{n + 1}", "abc"[n % 3])
            raise_runner(fleet, host, f"{pool}{n + 1}", pool, room)
    platforms.publish(fleet.platform, list(fleet.rows))
    fleet.platform.published[0] = (-1.0, list(fleet.rows))


def raise_runner(fleet, host, name, pool, room, listed=True, careless=False):
    """Start one runner and list it."""
    serial = len(fleet.runner_notes.lines) + len(fleet.backs)
    runner = runners.Runner(
        name, f"i{serial}-{len(fleet.backs)}", pool, host.zone, room, fleet.random.randrange(1 << 30)
    )
    runner.careless = careless
    fleet.backs[host.address] = runner
    listen(host, 80, runners.build(host, runner, fleet.runner_notes))
    row = {
        "name": name,
        "instance": runner.instance,
        "host": host.address,
        "port": 80,
        "pool": pool,
        "zone": host.zone,
        "room": room,
    }
    if listed:
        fleet.rows = [r for r in fleet.rows if r["name"] != name and r["host"] != host.address] + [row]
    return runner


def machine_of(fleet, daemon):
    """Return the clocks, threads and files of a simulated machine."""
    token = Random(fleet.random.random())
    return Machine(
        seconds=daemon.host.seconds,
        wall_s=lambda: daemon.wall_s + daemon.host.seconds(),
        in_thread=daemon.host.in_thread,
        token=lambda size: token.randbytes(size).hex(),
        sleep=lambda wait_s: None,
        files=drives.files_of(daemon.drive),
    )


def start(fleet, name):
    """Start a daemon."""
    daemon = fleet.daemons[name]
    daemon.host.boot()
    try:
        daemon.ctx, site = assemble(daemon.settings, daemon.host, machine_of(fleet, daemon))
    except OSError as error:
        return exited(fleet, name, type(error).__name__)
    daemon.hand = DaemonProcess(daemon.ctx, lambda: daemon.host.callLater(0, exited, fleet, name, None))
    daemon.ctx.lifecycle = make_life(daemon.hand)
    start_daemon(daemon.ctx, site, daemon.hand, lambda failure: exited(fleet, name, failure.type.__name__))


def exited(fleet, name, why):
    """Handle a daemon's exit; one that failed is started again."""
    daemon = fleet.daemons[name]
    status = daemon.hand.status if why is None else why
    daemon.exits.append(status)
    for call in daemon.host.die():
        drives.kill(daemon.drive, [call])
    if status != 0:
        later(fleet, 1000, revive, fleet, name)


def kill(fleet, name, power=False):
    """Kill a daemon, or cut its power."""
    daemon = fleet.daemons[name]
    if not daemon.host.alive:
        return
    jobs = daemon.host.die(power)
    (drives.lose_power if power else drives.kill)(daemon.drive, jobs)


def revive(fleet, name):
    """Start a daemon again if it is down."""
    if not fleet.daemons[name].host.alive:
        start(fleet, name)


def warn(fleet, name):
    """Tell a daemon to leave."""
    daemon = fleet.daemons[name]
    if daemon.host.alive:
        daemon.host.enter(daemon.ctx.lifecycle.shut_down)


def later(fleet, wait_ms, call, *args):
    """Schedule a call on the simulation's clock."""
    return fleet.net.clock.callLater(wait_ms / 1000, call, *args)


def clock_ms(fleet):
    """Return the simulation's time in milliseconds."""
    return fleet.net.clock.seconds() * 1000


def run(fleet, until_ms):
    """Run all machines up to a time in milliseconds."""
    net, hosts = fleet.net, list(fleet.net.hosts.values())
    while True:
        due_s = [net.clock.calls[0].getTime()] if net.clock.calls else []
        due_s += [d for h in hosts if (d := h.due_s()) is not None]
        at_s = min(due_s, default=until_ms / 1000)
        if at_s > until_ms / 1000:
            net.clock.advance(max(0.0, until_ms / 1000 - net.clock.seconds()))
            return
        net.clock.advance(max(0.0, at_s - net.clock.seconds()))
        if len(hosts) != len(net.hosts):
            hosts = list(net.hosts.values())
        for host in hosts:
            d = host.due_s()
            if d is not None and d <= at_s:
                host.catch_up()
