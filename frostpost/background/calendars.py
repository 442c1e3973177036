from datetime import datetime, timezone

from croniter import croniter
from msgspec import json
from twisted.internet.defer import inlineCallbacks

from frostpost.ledger import duties
from frostpost.ledger.words import ConfigSet, Fire, SetConfig
from frostpost.daemon.context import nowMs
from frostpost.daemon.core import leaseOk
from frostpost.daemon.heart import ask
from frostpost.daemon.news import say
from . import shelves


def dueS(cron, nowS):
    moment = datetime.fromtimestamp(nowS, timezone.utc)
    return int(croniter(cron, moment).get_prev(float))


def amended(tenant, sinceS, nowS):
    due = sorted((dueS(c["cron"], nowS + 1), n) for n, c in enumerate(tenant.get("calendars", ())))
    late = [(atS, n) for atS, n in due if sinceS < atS <= nowS]
    if not late:
        return 0, None
    parameters = dict(tenant.get("parameters", {}))
    for _, n in late:
        parameters.update(tenant["calendars"][n]["set"])
    return late[-1][0], {**tenant, "parameters": parameters}


@inlineCallbacks
def fireOne(ctx, fence, path, nowS):
    version, tenant = ctx.documents[path][0], json.decode(shelves.bodyOf(ctx, path))
    askMs = ctx.settings.doors.askMs
    sinceS = ctx.core.granary.fired.get(path)
    if sinceS is None:
        yield ask(ctx, Fire(fence, path, nowS, None), askMs)
        return
    atS, document = amended(tenant, sinceS, nowS)
    if document is None:
        return
    if document == tenant:
        yield ask(ctx, Fire(fence, path, atS, None), askMs)
        return
    base = f"templates/{tenant['template']}"
    item = yield shelves.put(ctx, json.encode(document))
    change = SetConfig(
        path, item.digest, item.size, version, item.source, item.number, ((base, ctx.documents[base][0]),)
    )
    if (yield shelves.spread(ctx, item)):
        result = yield ask(ctx, Fire(fence, path, atS, change), askMs)
        if result.is_ok() and isinstance(result.ok, ConfigSet):
            say("CalendarFired", path=path, version=result.ok.version, atS=atS)


@inlineCallbacks
def calendars(ctx):
    fence = duties.held(ctx.core.granary, "calendars", ctx.place.member)
    if not fence or not leaseOk(ctx.core, nowMs(ctx)) or ctx.honoured < ctx.core.granary.configIndex:
        return
    for path in [p for p, (_, d) in ctx.documents.items() if d.get("calendars")]:
        if path in ctx.documents:
            yield fireOne(ctx, fence, path, int(ctx.machine.wallS()))
