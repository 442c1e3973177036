import sys
from typing import Annotated

import cappa
from msgspec import DecodeError, Struct, json

from . import disk as disks
from . import settings as checked
from .context import Context, nowMs
from .core import begin
from .heart import TICK_MS, beat
from .life import Hand, make
from .links import listen, sender
from .news import begin as beginNews
from .news import say

RESERVED_BOOT = 1 << 48


def readHooks(ctx):
    if not ctx.settings.hooks:
        return
    try:
        with open(ctx.settings.hooks, "rb") as file:
            ctx.hook = json.decode(file.read())
    except (OSError, DecodeError):
        ctx.hook = {}


def loops(ctx):
    from twisted.internet.task import LoopingCall

    from frostpost.tending.calendars import calendars
    from frostpost.tending.listing import list_, tickLedger
    from frostpost.tending.runners import pollAll
    from frostpost.tending.shelves import honour, tidy
    tending = ctx.settings.tending
    jobs = (
        (beat, TICK_MS / 1000), (lambda c: c.disk.watch(), 0.1), (readHooks, 0.1),
        (pollAll, tending.loadMs / 1000), (list_, tending.listMs / 4000),
        (tickLedger, tending.tickMs / 1000), (calendars, tending.calendarMs / 1000), (honour, 0.1), (tidy, 30.0),
    )
    for job, everyS in jobs:
        loop = LoopingCall(job, ctx)
        loop.clock = ctx.reactor

        def broken(failure, job=job):
            say("Internal", job=getattr(job, "__name__", "job"), type=failure.type.__name__,
                text=failure.getTraceback()[-2000:])
            ctx.life.crash()
        loop.start(everyS, now=True).addErrback(broken)
        ctx.tasks.append(loop)


def assemble(settings, reactor):
    from secrets import randbelow

    from frostpost.gate.app import build
    from frostpost.gate.carry import agent
    from frostpost.gate.lookups import wake
    from frostpost.hedgerow.memory import replay
    from frostpost.hedgerow.words import Member, Place
    from frostpost.tending import shelves
    from frostpost.trellis.shelf import Shelf
    boot = 1 + randbelow(RESERVED_BOOT)
    place = Place(Member(settings.name, boot), settings.role, settings.cell, settings.host,
                  settings.port, settings.httpPort)
    ctx = Context(settings, reactor, place)
    ctx.shelf = Shelf(f"{settings.name}.{boot}")
    records, ctx.disk = [], disks.Diskless()
    if settings.role == "storage":
        furrow, records, fault = disks.open_(settings.data)
        ctx.disk = disks.Keeper(ctx, furrow)
        fault = shelves.load(ctx, settings.data) or fault
        if fault:
            ctx.corrupt = f"{type(fault).__name__} at {fault.offset} in {fault.path}"
            say(type(fault).__name__, path=fault.path, offset=fault.offset)

    def applied():
        wake(ctx)
        if ctx.honoured < ctx.core.granary.configIndex:
            reactor.callLater(0, shelves.honour, ctx)
    ctx.links = {
        "send": sender(ctx), "applied": applied,
        "news": lambda frm, body: shelves.received(ctx, frm, body),
        "heard": lambda frm, vector: shelves.heard(ctx, frm, vector)}
    ctx.agent = agent(ctx)
    seeds = [f"@{s}" for s in settings.seeds]
    ctx.core, out = begin(place, settings.bounds, seeds, settings.voters, replay(records), nowMs())
    ctx.core.hedge.news = shelves.news(ctx)
    ctx.disk.write(out.writes)
    return ctx, build(ctx)


def run(settings):
    import signal

    from twisted.internet import reactor
    from twisted.internet.endpoints import TCP4ServerEndpoint
    ctx, site = assemble(settings, reactor)
    hand = Hand(ctx, lambda: reactor.running and reactor.stop())
    ctx.life = make(hand)

    def refused(failure):
        say("ListenFault", text=failure.getErrorMessage())
        hand.status = 69
        hand.stop()

    def up(port):
        hand.close = port.stopListening
        loops(ctx)
        ctx.life.started()

    def listenHttp(_):
        return TCP4ServerEndpoint(
            reactor, settings.httpPort, interface=settings.host, backlog=512).listen(site)
    reactor.callWhenRunning(
        lambda: listen(ctx).addCallback(listenHttp).addCallbacks(up, refused))
    reactor.addSystemEventTrigger(
        "after", "startup", lambda: signal.signal(
            signal.SIGTERM, lambda *_: reactor.callFromThread(ctx.life.leave)))
    reactor.run(installSignalHandlers=True)
    return hand.status


@cappa.command(name="orchard", help="Run one frostpost daemon from a settings file.")
class Orchard(Struct):
    settings: Annotated[str, cappa.Arg(help="path of the settings file (TOML)")]
    name: Annotated[str | None, cappa.Arg(long=True, help="the daemon's name")] = None
    role: Annotated[str | None, cappa.Arg(long=True, help="edge, core or storage")] = None
    cell: Annotated[str | None, cappa.Arg(long=True, help="the zone this machine stands in")] = None
    host: Annotated[str | None, cappa.Arg(long=True, help="IP number to listen on")] = None
    port: Annotated[int | None, cappa.Arg(long=True, help="port for other daemons")] = None
    httpPort: Annotated[int | None, cappa.Arg(long="--http-port", help="port for callers and operators")] = None
    data: Annotated[str | None, cappa.Arg(long=True, help="data folder of a storage daemon")] = None
    seeds: Annotated[list[str], cappa.Arg(long="--seed", help="IP:port of another daemon; may be given again")] = []
    check: Annotated[bool, cappa.Arg(long=True, help="check the settings and stop")] = False


def main():
    command = cappa.parse(Orchard)
    flags = {n: getattr(command, n) for n in ("name", "role", "cell", "host", "port", "httpPort", "data")}
    flags["seeds"] = command.seeds or None
    result = checked.read(command.settings, flags)
    if result.is_error():
        fault = result.error
        print(f"{type(fault).__name__}: {fault.path}: {fault.text}", file=sys.stderr)
        return 78
    if command.check:
        print("settings are in order")
        return 0
    beginNews()
    return run(result.ok)


if __name__ == "__main__":
    sys.exit(main())
