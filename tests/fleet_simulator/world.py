"""Simulated deployment that runs the real storage, core and edge daemons on simulated hosts."""

import os
from contextlib import contextmanager
from random import Random
from types import SimpleNamespace

from msgspec import Struct

from frostpost.cluster import agent as assembly
from frostpost.cluster import replica_daemon, replica_drain
from frostpost.daemon.machine import Machine
from frostpost.platform import listening, settings
from frostpost.simulator import simulated_disk
from frostpost.simulator.net import Net
from frostpost.turn_store import store
from frostpost.turn_store.segments import BodyFiles

from .clock import SimulatedHost, VirtualClock
from .list import start_listing
from .notes import Notes
from .runners import Runner, start_runner

FRONT, READINESS, CONTROL, INNER, RUNNER = 8149, 8141, 8144, 7380, 9000
DEFAULT_TIMERS = {
    "contact": 3000,
    "ack": 4000,
    "drain": 3000,
    "apply": 2000,
    "recovery": 12000,
    "window": 8000,
    "keep": 20000,
    "lease": 1200,
}
RESTART_MS = 300
DELAY, DISK_MS, DISK_ROOM = "delay_ms", 2.0, 1 << 40
POOLS = (("model", 3, 6, True), ("model2", 2, 6, True), ("tools", 3, 6, False), ("tools2", 2, 6, False))


class Shape(Struct):
    """Size and failure tolerance of a deployment; machine counts are per zone."""

    zones: int = 3
    edges: int = 1
    storages: int = 1
    cores: int = 1
    seeds: int = 3
    tolerated: int = 1
    tolerated_zones: int = 0
    tolerated_regions: int = 0
    regions: int = 1


class Daemon(Struct):
    name: str
    role: str
    zone: str
    host: object
    disk: simulated_disk.SimulatedDisk
    first: bool = True
    owner: object = None
    exits: list = []
    gone: bool = False
    lives: int = 0
    since_ms: float = 0.0
    wall_offset_s: float = 0.0


class World:
    def __init__(self, seed, shape):
        self.seed, self.shape, self.random = seed, shape, Random(seed)
        self.net = Net(Random(seed * 31 + 7))
        self.net.clock = VirtualClock()
        self.notes, self.daemons, self.runners, self.out = Notes(dict(DEFAULT_TIMERS)), {}, {}, {}
        self.zones, self.starts, self.serial = [f"z{index}" for index in range(shape.zones)], [], 0
        self.listing = start_listing(self.add_host("platform", "z0"), self.notes, 800)
        self.callers = self.add_host("callers", "z0")
        self.regions = {zone: f"r{index % shape.regions}" for index, zone in enumerate(self.zones)}
        self.seeds, self.settled_ms, self.cuts = [], 0.0, []
        self.operators, self.crowd, self.changes_until_ms = [], None, 1e12

    def controls(self):
        """Return the control addresses that operators are configured with."""
        return [(d.host.address, CONTROL) for d in self.of("core")]

    def now_ms(self):
        return self.net.clock.seconds() * 1000

    def later(self, wait_ms, call, *args):
        return self.net.clock.callLater(wait_ms / 1000, call, *args)

    def run(self, until_ms):
        self.net.clock.run(until_ms / 1000)

    def add_host(self, name, zone, address=None):
        address = address or f"10.0.{len(self.net.hosts) // 200}.{len(self.net.hosts) % 200 + 1}"
        host = self.net.hosts[address] = SimulatedHost(self.net, name, address, zone)
        return host

    def of(self, *roles):
        return [d for d in self.daemons.values() if d.role in roles and not d.gone]


def make(seed, shape=None, pools=POOLS):
    world = World(seed, shape or Shape())
    for role, count in (("core", world.shape.cores), ("storage", world.shape.storages), ("edge", world.shape.edges)):
        for zone in world.zones:
            for index in range(count):
                add(world, f"{role}-{zone}-{index + 1}", role, zone)
    cores = [d for index in range(world.shape.cores) for d in world.of("core") if d.name.endswith(f"-{index + 1}")]
    world.seeds = [f"{d.host.address}:{CONTROL}" for d in cores[: world.shape.seeds]]
    for service, count, slots, streams in pools:
        for index in range(count):
            add_runner(world, service, slots, streams, world.zones[index % len(world.zones)])
    for _, runner_id, _ in world.notes.shown:
        world.listing.history[0][1].update({runner_id: world.listing.history[-1][1][runner_id]})
    return world


def add(world, name, role, zone):
    if role == "storage":
        world.notes.end_isolations(world.now_ms())
    host = world.add_host(name, zone)
    host.alive = False
    disk = simulated_disk.SimulatedDisk(Random(world.random.random()))
    disk.delay_ms = DISK_MS
    host.thread_ms = lambda: disk.delay_ms * (0.5 + world.random.random())
    daemon = world.daemons[name] = Daemon(name, role, zone, host, disk)
    return daemon


def add_runner(world, service, slots, streams, zone, host=None, odds=None):
    world.serial += 1
    host = host or world.add_host(f"runner{world.serial}", zone)
    runner = Runner(
        f"i{world.serial}",
        service,
        host,
        RUNNER,
        zone,
        slots,
        streams,
        world.notes,
        Random(world.random.random()),
        dict(odds or {}),
        pace_ms=world.random.uniform(8, 30),
        tells_load=world.random.random() < 0.5,
    )
    world.runners[runner.id] = start_runner(runner)
    world.listing.change(runner, "available")
    return runner


def document_of(world, daemon):
    address, sheet = daemon.host.address, world.notes.sheet
    listening_ports = {"edge": {"front": FRONT, "readiness": READINESS}, "core": {"control": CONTROL}, "storage": {}}
    serves = {"edge": ["edge"], "core": ["control"], "storage": ["storage"]}
    return {
        "node-name": daemon.name,
        "role": "x",
        "machine-class": daemon.role,
        "serves": serves[daemon.role],
        "ip": address,
        "zone": daemon.zone,
        "region": world.regions[daemon.zone],
        "zones": dict(world.regions),
        "bind-addresses": {name: f"{address}:{port}" for name, port in listening_ports[daemon.role].items()},
        "port-range": [INNER, INNER + 15],
        "seeds": list(world.seeds),
        "initial-start": daemon.first,
        "limits": {"memory-mb": 260, "max-fds": 4100, "disk-mb": 0 if daemon.role == "edge" else 200},
        "data-dir": None if daemon.role == "edge" else f"/{daemon.name}",
        "tolerance": {
            "machines": world.shape.tolerated,
            "zones": world.shape.tolerated_zones,
            "regions": world.shape.tolerated_regions,
        },
        "timers": {
            "contact-ms": sheet["contact"],
            "ack-ms": sheet["ack"],
            "catch-up-s": 3,
            "drain-ms": sheet["drain"],
            "grace-s": 8,
            "loss-slack-ms": 200,
            "apply-ms": sheet["apply"],
            "key-window-s": sheet["window"] / 1000,
            "recovery-s": sheet["recovery"] / 1000,
            "transit-ms": 120,
        },
        "cloud-api": {"address": f"{world.listing.host.address}:80", "rate-per-s": 44.0},
    }


def files_of(disk):
    base = simulated_disk.files_of(disk)

    def unlink(path):
        simulated_disk.begin_call(disk, "unlink")
        if path not in disk.names:
            raise FileNotFoundError(path)
        del disk.names[path]

    return BodyFiles(
        **{field: getattr(base, field) for field in base.__struct_fields__},
        unlink=unlink,
        listdir=lambda folder: [os.path.basename(p) for p in disk.names if os.path.dirname(p) == folder],
    )


@contextmanager
def simulated_turn_store(files):
    """Make the replica daemon open its turn store on the simulated disk instead of the real one."""
    original_store, replica_daemon.store = (
        replica_daemon.store,
        SimpleNamespace(
            open_store=lambda folder, machine, **options: store.open_store(folder, machine, files=files, **options),
            expire=store.expire,
        ),
    )
    try:
        yield
    finally:
        replica_daemon.store = original_store


def start(world, daemon):
    """Start the process of a daemon with the current contents of its disk."""
    if daemon.gone or daemon.host.alive and daemon.owner is not None:
        return
    host, token = daemon.host, Random(world.random.random())
    host.boot()
    daemon.lives, daemon.since_ms = daemon.lives + 1, world.now_ms()
    files, life = files_of(daemon.disk), host.generation
    world.starts.append((host.address, world.now_ms()))

    def stop(code):
        host.callLater(0, handle_exit, world, daemon, life, code)

    machine = Machine(
        seconds=host.seconds,
        wall_s=lambda: 1.8e9 + daemon.wall_offset_s + host.seconds(),
        in_thread=host.in_thread,
        token=lambda size: token.randbytes(size).hex(),
        sleep=lambda wait_s: None,
        files=files,
    )
    parsed_settings = settings.from_document(document_of(world, daemon)).ok
    try:
        if daemon.role == "storage":
            with simulated_turn_store(files):
                daemon.owner = replica_daemon.assemble(parsed_settings, host, machine, stop)
                daemon.owner.sessions.capacity.routing_from_body = listening.routing_from_body
            host.dispatch(replica_daemon.start, daemon.owner)
        else:
            front = listening.make_front()
            daemon.owner = assembly.make_agent(parsed_settings, front, host, machine)
            host.dispatch(assembly.start_agent, daemon.owner, front, stop)
    except OSError as error:
        handle_exit(world, daemon, life, type(error).__name__)


def handle_exit(world, daemon, life, code):
    if daemon.host.generation != life or not daemon.host.alive:
        return
    daemon.exits.append((world.now_ms(), code))
    kill(world, daemon)
    if code != 0:
        world.later(RESTART_MS, start, world, daemon)


def kill(world, daemon, power=False):
    if daemon.host.alive:
        jobs = daemon.host.terminate(power)
        (simulated_disk.lose_power if power else simulated_disk.kill)(daemon.disk, jobs)
    elif power:
        simulated_disk.lose_power(daemon.disk, [])
    daemon.owner, daemon.host.powered = None, not power


def wipe(world, daemon):
    kill(world, daemon, True)
    simulated_disk.wipe(daemon.disk)


def leave(world, daemon):
    """Drain a daemon as on SIGTERM."""
    if not daemon.host.alive or daemon.owner is None:
        return
    life, host = daemon.host.generation, daemon.host

    def stop(code):
        host.callLater(0, handle_exit, world, daemon, life, code)

    host.dispatch(
        *(
            (replica_drain.drain, daemon.owner)
            if daemon.role == "storage"
            else (assembly.drain_agent, daemon.owner, stop)
        )
    )


def fronts(world, zone):
    """Return the edge addresses to which the platform load balancer sends new connections from a zone."""
    edges = world.of("edge")
    in_zone = [d for d in edges if d.zone == zone]
    healthy = [d for d in in_zone if world.out.get(d.name, 0) < 2]
    if len(healthy) * 2 < len(in_zone):
        healthy = in_zone if healthy else [d for d in edges if world.out.get(d.name, 0) < 2] or in_zone
    return [(d.host.address, FRONT) for d in healthy or edges]


def controls(world):
    return world.controls()
