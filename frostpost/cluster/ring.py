"""A storage daemon: member of the ring, keeper of the ledger and of the bodies of turns."""

from msgspec import Struct
from twisted.internet.task import LoopingCall

from frostpost.write_ahead_log import disk as furrows
from frostpost.virtual_synchrony.events import Left, Received
from frostpost.virtual_synchrony.memory import NOWHERE, replay
from frostpost.virtual_synchrony.outer import Directory, Hello, SiloDone, SiloGet, SiloGot, SiloPut
from frostpost.virtual_synchrony.state import Bounds, names
from frostpost.virtual_synchrony.words import SPEAKS, Member, Place, Roster
from frostpost.daemon import core as cores
from frostpost.daemon import disk as disks
from frostpost.daemon import heart
from frostpost.daemon.context import Context, nowMs
from frostpost.daemon.links import listen, sender
from frostpost.daemon.news import say
from frostpost.daemon.settings import Settings, Tending as Pace
from frostpost.turn_store import serving as silos
from frostpost.turn_store import store
from frostpost.background.ticking import tickLedger

from . import peers, serving, status, tenders

LOG_ENTRIES = 20000
WINDOW = 2048
LEAVE_S = 0.4
ROLE = "storage"


class House:
    """What a storage daemon holds beside its context."""

    __slots__ = (
        "ctx",
        "settings",
        "sessions",
        "background",
        "turn_store",
        "reactor",
        "machine",
        "send",
        "records",
        "waiting",
        "charter",
        "tasks",
        "stop",
        "peers",
        "leaves",
        "greeted",
    )

    def __init__(self, ctx, settings, stop):
        self.ctx, self.settings, self.stop = ctx, settings, stop
        self.sessions, self.tending = serving.Sessions(), tenders.Tending()
        self.reactor, self.machine, self.tasks = ctx.reactor, ctx.machine, []
        self.silo, self.send, self.records, self.waiting, self.charter = None, None, [], True, ()


class Crash(Struct):
    """Stands where a daemon's life is asked to end at once."""

    stop: object

    def crash(self):
        self.stop(70)


def ring_settings(settings):
    """The product's settings of a ring daemon."""
    bounds = Bounds(
        detectMs=settings.detect_ms,
        proposalMs=settings.detect_ms,
        leaseMs=settings.lease_ms,
        window=WINDOW,
        rewriteEntries=LOG_ENTRIES,
    )
    return Settings(
        settings.name,
        ROLE,
        settings.zone,
        settings.host,
        settings.port,
        0,
        list(settings.seeds),
        [],
        settings.data,
        bounds=bounds,
        tending=Pace(tickMs=settings.tick_ms),
    )


def assemble(settings, reactor, machine, stop):
    """-> House; its core begins when it knows whether it is a founder, see `begin`."""
    boot = 1 + int(machine.token(6), 16)
    place = Place(Member(settings.name, boot), ROLE, settings.zone, settings.host, settings.port, 0, SPEAKS)
    ctx = Context(ring_settings(settings), reactor, place, machine)
    house = House(ctx, settings, stop)
    ctx.life = Crash(stop)
    furrow, house.records, fault = disks.open_(settings.data, machine.files)
    if fault:
        say(type(fault).__name__, path=fault.path, offset=fault.offset)
    ctx.disk = disks.Keeper(ctx, furrow)
    house.peers = peers.open_(settings.data, machine)
    house.leaves, house.greeted = peers.open_(settings.data, machine, "leaves"), None
    house.silo = store.open_(
        settings.data,
        machine,
        tell=lambda lost: told_by_disk(house, lost),
        disk_bytes=settings.disk_mb * 600000 or 1 << 30,
    )
    ctx.links = {
        "applied": lambda: serving.follow(ctx, house.sessions),
        "news": lambda frm, body: None,
        "heard": lambda frm, news: None,
    }
    ctx.links["send"] = house.send = sender(ctx)
    return house


def told_by_disk(house, lost):
    say(type(lost).__name__, what="turn_store")
    if isinstance(lost, furrows.SyncLost):
        house.stop(70)


def start(house):
    """Listen and begin: at once with a memory or at a later start, else with the charter."""
    listen(house.ctx, lambda ctx, frame: received(house, frame)).addErrback(fallen(house))
    log = replay(house.records)
    if log.primary != NOWHERE or not house.settings.first_start:
        begin(house, ())
    loop(house, lambda: seek_charter(house), 0.1)


def fallen(house):
    def failed(failure):
        say("ListenFault", text=failure.getErrorMessage())
        house.stop(69)

    return failed


def begin(house, charter):
    ctx, settings = house.ctx, house.settings
    house.waiting, house.charter = False, charter
    seeds = dict.fromkeys((*settings.seeds, *peers.known(house.peers)))
    ctx.core, out = cores.begin(
        ctx.place, ctx.settings.bounds, [f"@{s}" for s in seeds], charter, replay(house.records), nowMs(ctx)
    )
    house.records = []
    ctx.disk.write(out.writes)
    loop(house, lambda: heart.beat(ctx), heart.TICK_MS / 1000)
    loop(house, ctx.disk.watch, 0.1)
    loop(house, lambda: tickLedger(ctx), settings.tick_ms / 1000)
    loop(house, lambda: repair(house), 0.2)
    loop(house, lambda: tenders.tend(ctx, house.tending, 2 * settings.tolerated + 1, settings.catch_up_ms), 0.15)
    loop(house, lambda: tidy(house), 10.0)
    loop(house, lambda: peers.keep(house.peers, ctx.core.hedge), 1.0)
    loop(house, lambda: greet(house), 0.03)
    loop(house, lambda: keep_leaves(house), 1.0)
    say("started", name=settings.name, founding=list(charter))


def loop(house, job, every_s):
    task = LoopingCall(job)
    task.clock = house.reactor

    def broken(failure):
        say("Internal", type=failure.type.__name__, text=failure.getTraceback()[-2000:])
        house.stop(70)

    task.start(every_s, now=False).addErrback(broken)
    house.tasks.append(task)


def seek_charter(house):
    if house.waiting:
        for seed in house.settings.seeds:
            house.ctx.links["send"](f"@{seed}", Hello())


def repair(house):
    ctx = house.ctx
    peers = [
        f"@{p.place.host}:{p.place.port}"
        for p in ctx.core.hedge.peers.values()
        if p.place.role == ROLE and p.configuration == ctx.core.hedge.configuration.id
    ]
    silos.repair(house, ctx.core.granary.coppice.turns, peers)
    ctx.core.hedge.news = {tenders.MISSING: house.silo.missing}


def greet(house):
    """A sequencer that has just opened tells the leaves that it knows, so that they need not look for it."""
    ctx = house.ctx
    hedge = ctx.core.hedge
    if not serving.sequencing(ctx) or house.greeted == hedge.configuration.id:
        return
    house.greeted = hedge.configuration.id
    places = tuple(
        p for p in (hedge.place, *(hedge.peers[n].place for n in names(hedge.configuration) if n in hedge.peers))
    )
    known = {f"@{a}" for a in house.leaves.addresses} | {s.address for s in house.sessions.leaves.values()}
    for address in sorted(known):
        house.send(address, Directory(places))


def keep_leaves(house):
    """Addresses of leaves heard of late, by the sequencer as renewals come, by the others from what it greets."""
    now = nowMs(house.ctx)
    recent = [s.address[1:] for s in house.sessions.leaves.values() if s.until_ms > now]
    if recent:
        peers.keep_addresses(house.leaves, recent)


def tidy(house):
    serving.forget(house.sessions, nowMs(house.ctx))
    store.expire(house.silo, lambda turn: turn in house.ctx.core.granary.coppice.turns)


def received(house, frame):
    """A frame from any daemon."""
    place, body, ctx = frame.place, frame.body, house.ctx
    if status.ring_answered(house, place, body):
        return None
    if isinstance(body, Directory):
        return directed(house, body)
    if isinstance(body, (SiloPut, SiloGet, SiloGot, SiloDone)):
        return silos.received(house, f"@{place.host}:{place.port}", body)
    if house.waiting:
        return None
    if place.role == ROLE:
        return heart.received(ctx, frame)
    return serving.received(ctx, house.sessions, place, body)


def directed(house, message):
    """A seed tells the ring's daemons that it knows, and the charter."""
    if house.waiting:
        if message.charter:
            begin(house, message.charter)
        return
    ctx = house.ctx
    for place in message.places:
        if place.member.name != house.settings.name and place.member.name not in ctx.core.hedge.peers:
            heart.feed(ctx, Received(nowMs(ctx), place, Roster((), False)))


def leave(house):
    """Leave the configuration in order, then end."""
    if not house.waiting:
        heart.feed(house.ctx, Left(nowMs(house.ctx)))
    house.reactor.callLater(LEAVE_S, house.stop, 0)
