from random import Random

from msgspec import Struct, convert, json
from twisted.internet.endpoints import TCP4ServerEndpoint

from frostpost.daemon.assembly import assemble, raise_
from frostpost.daemon.life import Hand, make as makeLife
from frostpost.daemon.machine import Machine
from frostpost.daemon.settings import Settings
from frostpost.testbed import callers, platform as platforms, runner as runners
from frostpost.testbed.notes import Notes
from . import drives
from .hosts import Host
from .net import Net

PORT, HTTP = 7000, 8000
POOLS = (("hmodel", 3, 12), ("hlookup", 2, 24), ("tmodel", 2, 12), ("tlookup", 2, 24))


class Daemon(Struct):
    host: Host
    settings: Settings
    drive: drives.Drive
    ctx: object = None
    hand: object = None
    exits: list = []
    wallS: float = 1.8e9


class Valley(Struct):
    seed: int
    random: Random
    net: Net
    daemons: dict[str, Daemon] = {}
    backs: dict[str, object] = {}
    rows: list[dict] = []
    platform: object = None
    crowd: object = None
    callers: Host | None = None
    notes: Notes | None = None
    runnerNotes: Notes | None = None
    trace: list = []
    planned: list = []
    amends: int = 0


def addHost(valley, name, cell):
    address = f"127.1.0.{len(valley.net.hosts) + 1}"
    host = Host(valley.net, name, address, cell)
    valley.net.hosts[address] = host
    return host


def settingsOf(name, role, cell, address, seeds, voters, bounds, doors):
    return convert(
        {
            "name": name,
            "role": role,
            "cell": cell,
            "host": address,
            "port": PORT,
            "httpPort": HTTP,
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
    random = Random(seed)
    valley = Valley(seed, random, Net(random))
    seconds = valley.net.clock.seconds
    valley.notes, valley.runnerNotes = Notes(None, seconds), Notes(None, seconds)
    raisePlatform(valley)
    valley.callers = addHost(valley, "callers", "a")
    raiseRunners(valley, pools)
    names = [
        (letter + str(n + 1), role, "abc"[n % 3])
        for role, letter, many in (("storage", "s", storages), ("core", "c", cores), ("edge", "e", edges))
        for n in range(many)
    ]
    voters = [n for n, role, _ in names if role == "storage"]
    hosts = {name: addHost(valley, name, cell) for name, _, cell in names}
    seeds = [f"{hosts[n].address}:{PORT}" for n, role, _ in names if role != "edge"][:3]
    for name, role, cell in names:
        add(valley, name, role, cell, hosts[name], seeds, voters, bounds or {}, doors)
    for name in valley.daemons:
        start(valley, name)
    return valley


def add(valley, name, role, cell, host, seeds, voters, bounds, doors=None):
    settings = settingsOf(name, role, cell, host.address, seeds, voters, bounds, doors or {})
    drive = drives.Drive(Random(valley.random.random()))
    valley.daemons[name] = Daemon(host, settings, drive)
    host.threadMs = lambda: drive.delayMs * (0.5 + valley.random.random())


def raisePlatform(valley):
    host = addHost(valley, "platform", "a")
    valley.platform = platforms.Platform(lagS=0.5, seconds=valley.net.clock.seconds)
    listen(host, 80, platforms.build(valley.platform, host))


def listen(host, port, site):
    TCP4ServerEndpoint(host, port).listen(site)


def raiseRunners(valley, pools):
    for pool, many, room in pools:
        for n in range(many):
            host = addHost(valley, f"{pool}{n + 1}", "abc"[n % 3])
            raiseRunner(valley, host, f"{pool}{n + 1}", pool, room)
    platforms.show(valley.platform, list(valley.rows))
    valley.platform.pages[0] = (-1.0, list(valley.rows))


def raiseRunner(valley, host, name, pool, room, listed=True, careless=False):
    serial = len(valley.runnerNotes.lines) + len(valley.backs)
    runner = runners.Runner(
        name, f"i{serial}-{len(valley.backs)}", pool, host.cell, room, valley.random.randrange(1 << 30)
    )
    runner.careless = careless
    valley.backs[host.address] = runner
    listen(host, 80, runners.build(host, runner, valley.runnerNotes))
    row = {
        "name": name,
        "instance": runner.instance,
        "host": host.address,
        "port": 80,
        "pool": pool,
        "cell": host.cell,
        "room": room,
    }
    if listed:
        valley.rows = [r for r in valley.rows if r["name"] != name and r["host"] != host.address] + [row]
    return runner


def machineOf(valley, daemon):
    token = Random(valley.random.random())
    return Machine(
        seconds=daemon.host.seconds,
        wallS=lambda: daemon.wallS + daemon.host.seconds(),
        inThread=daemon.host.inThread,
        token=lambda size: token.randbytes(size).hex(),
        sleep=lambda waitS: None,
        files=drives.filesOf(daemon.drive),
    )


def start(valley, name):
    daemon = valley.daemons[name]
    daemon.host.boot()
    try:
        daemon.ctx, site = assemble(daemon.settings, daemon.host, machineOf(valley, daemon))
    except OSError as fault:
        return exited(valley, name, type(fault).__name__)
    daemon.hand = Hand(daemon.ctx, lambda: daemon.host.callLater(0, exited, valley, name, None))
    daemon.ctx.life = makeLife(daemon.hand)
    raise_(daemon.ctx, site, daemon.hand, lambda failure: exited(valley, name, failure.type.__name__))


def exited(valley, name, why):
    daemon = valley.daemons[name]
    status = daemon.hand.status if why is None else why
    daemon.exits.append(status)
    for call in daemon.host.die():
        drives.kill(daemon.drive, [call])
    if status != 0:
        later(valley, 1000, revive, valley, name)


def kill(valley, name, power=False):
    daemon = valley.daemons[name]
    if not daemon.host.alive:
        return
    jobs = daemon.host.die(power)
    (drives.losePower if power else drives.kill)(daemon.drive, jobs)


def revive(valley, name):
    if not valley.daemons[name].host.alive:
        start(valley, name)


def warn(valley, name):
    daemon = valley.daemons[name]
    if daemon.host.alive:
        daemon.host.enter(daemon.ctx.life.leave)


def later(valley, waitMs, call, *args):
    return valley.net.clock.callLater(waitMs / 1000, call, *args)


def nowMs(valley):
    return valley.net.clock.seconds() * 1000


def run(valley, untilMs):
    net, hosts = valley.net, list(valley.net.hosts.values())
    while True:
        dueS = [net.clock.calls[0].getTime()] if net.clock.calls else []
        dueS += [d for h in hosts if (d := h.dueS()) is not None]
        atS = min(dueS, default=untilMs / 1000)
        if atS > untilMs / 1000:
            net.clock.advance(max(0.0, untilMs / 1000 - net.clock.seconds()))
            return
        net.clock.advance(max(0.0, atS - net.clock.seconds()))
        if len(hosts) != len(net.hosts):
            hosts = list(net.hosts.values())
        for host in hosts:
            d = host.dueS()
            if d is not None and d <= atS:
                host.catchUp()


def doors(valley):
    return [f"{d.host.address}:{HTTP}" for n, d in valley.daemons.items() if d.settings.role == "edge"]


def ready(valley, name):
    from frostpost.daemon.core import leaseOk

    daemon = valley.daemons[name]
    ctx = daemon.ctx
    return (
        daemon.host.alive
        and not daemon.host.frozen
        and ctx is not None
        and not ctx.leaving
        and leaseOk(ctx.core, int(nowMs(valley)))
        and ctx.honoured >= ctx.needConfig
    )


def crowd(valley, seconds, factor, tag="p"):
    valley.callers.catchUp()
    valley.crowd = callers.Crowd(valley.callers, doors(valley), valley.seed, valley.notes, tag)
    over = []
    callers.arrivals(valley.crowd, seconds, factor, lambda: over.append(True))
    return over


def call(valley, name, path, method="GET", document=None, headers=None):
    from treq.client import HTTPClient
    from twisted.web.client import Agent

    from frostpost.http_api.carry import ByNumber

    host, box = valley.callers, []
    host.catchUp()
    client = HTTPClient(Agent.usingEndpointFactory(host, ByNumber(host, 1)))
    daemon = valley.daemons[name]
    done = client.request(
        method,
        f"http://{daemon.host.address}:{HTTP}{path}",
        data=None if document is None else callers.bodyOf(host, json.encode(document)),
        headers=headers or {},
        timeout=20,
        reactor=host,
    )

    def body(response):
        return response.content().addCallback(lambda raw: box.append((response.code, raw)))

    done.addCallback(body).addErrback(lambda f: box.append((0, f.type.__name__.encode())))
    return box
