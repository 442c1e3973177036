from msgspec import Struct, json
from twisted.internet.defer import inlineCallbacks

from frostpost.http_api.reading import gather
from frostpost.ledger import duties
from frostpost.ledger.words import Runner, Runners
from frostpost.daemon.context import count, nowMs
from frostpost.daemon.core import leaseOk
from frostpost.daemon.heart import ask
from frostpost.daemon.news import say


class Row(Struct):
    name: str
    instance: str
    host: str
    port: int
    pool: str
    cell: str
    room: int


class Page(Struct):
    runners: list[Row]


@inlineCallbacks
def list_(ctx):
    fence = duties.held(ctx.core.granary, "list", ctx.place.member)
    now = nowMs(ctx)
    if not fence or not ctx.settings.list or now < ctx.listMs or not leaseOk(ctx.core, now):
        return
    ctx.listMs = now + ctx.settings.tending.listMs
    try:
        response = yield ctx.agent.get(ctx.settings.list, timeout=2, unbuffered=True, reactor=ctx.reactor)
        raw = yield gather(response, ctx.settings.doors.configBytes)
        if response.code == 429:
            said = (response.headers.getRawHeaders("retry-after") or ["1"])[0]
            waitMs = int(said) * 1000 if said.isdigit() else 1000
            ctx.listMs = nowMs(ctx) + waitMs
            count(ctx, "listTurnedAway")
            return
        page = json.decode(raw, type=Page)
    except Exception as fault:
        count(ctx, f"listFault/{type(fault).__name__}")
        return
    ctx.listedMs = nowMs(ctx)
    entries = tuple(
        sorted(
            (Runner(r.name, r.instance, r.host, r.port, r.pool, r.cell, r.room) for r in page.runners),
            key=lambda r: r.name,
        )
    )
    held = ctx.core.granary.runners
    if {r.name: r for r in entries} != held:
        count(ctx, "listChanges")
        say("RunnerList", runners=len(entries))
        yield ask(ctx, Runners(fence, entries), ctx.settings.doors.askMs)
