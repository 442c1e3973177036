from expression import Error, Ok
from msgspec import json
from twisted.internet.defer import inlineCallbacks

from frostpost.ledger import configs
from frostpost.ledger.words import ConfigSet, Done, Drain, NotHeld, SetConfig, StaleConfig
from frostpost.daemon.context import nowMs
from frostpost.daemon.core import leaseOk
from frostpost.daemon.heart import ask
from frostpost.daemon.news import say
from frostpost.daemon.waiting import until
from frostpost.background import shelves
from frostpost.tenant_config.shapes import WORD
from frostpost.tenant_config.stamp import checkTemplate, checkTenant, patch
from . import calls, faults, sets


def versionOf(ctx, path):
    return configs.held(ctx.core.granary, path)


def documentOf(ctx, path):
    held = ctx.documents.get(path)
    return held[1] if held else None


def judge(ctx, kind, name, document):
    if kind == "tenants":
        template = f"templates/{document.get('template')}" if isinstance(document, dict) else ""
        result = checkTenant(name, document, documentOf(ctx, template))
        return result, ((template, versionOf(ctx, template)),)
    path = f"templates/{name}"
    tenants = [
        (p.split("/", 1)[1], d)
        for p, (_, d) in ctx.documents.items()
        if p.startswith("tenants/") and d["template"] == name
    ]
    bases = tuple((f"tenants/{t}", versionOf(ctx, f"tenants/{t}")) for t, _ in tenants)
    return checkTemplate(document, tenants), (*bases, *(() if bases else ((path, versionOf(ctx, path)),)))


def ifMatch(request, held):
    said = request.getHeader("if-match")
    if said is None:
        return Ok(held)
    said = said.strip().strip('"')
    if not said.isdigit():
        return Error(faults.BadBody("If-Match", "must be a version number"))
    return Ok(int(said))


def ready(ctx):
    if ctx.leaving:
        return faults.Leaving()
    if not leaseOk(ctx.core, nowMs(ctx)):
        return faults.NoPrimary()
    if ctx.honoured < ctx.core.granary.configIndex:
        return faults.ConfigChanging()
    return None


@inlineCallbacks
def take(ctx, request, kind, name, back=False):
    fault = ready(ctx)
    if fault:
        return Error(fault)
    path, index = f"{kind}/{name}", ctx.core.granary.configIndex
    if kind not in ("templates", "tenants") or not WORD.match(name):
        return Error(faults.NoSuch("configurations are templates/NAME or tenants/NAME"))
    held = versionOf(ctx, path)
    version = ifMatch(request, held)
    if version.is_error():
        return version
    if version.ok != held:
        return Error(faults.ConfigMoved(path, held))
    parsed = yield ctx.machine.inThread(calls.bodyOf, request)
    if parsed.is_error():
        return parsed
    document = parsed.ok
    if back:
        former = sets.former(ctx, path, document.get("version"))
        if former.is_error():
            return former
        document = yield ctx.machine.inThread(json.decode, former.ok)
    elif request.method == b"PATCH":
        if held == 0:
            return Error(faults.NoSuch(f"there is no {path} to amend"))
        whole = yield ctx.machine.inThread(json.decode, shelves.bodyOf(ctx, path))
        document = patch(whole, document)
    result, bases = yield ctx.machine.inThread(judge, ctx, kind, name, document)
    if result.is_error():
        return Error(faults.ConfigFaulty(result.error.faults))
    body = yield ctx.machine.inThread(json.encode, document)
    if kind == "templates" and ctx.core.granary.rules >= 2:
        said = yield sets.order(ctx, {path: body}, index)
        return said.map(lambda s: {"path": path, "version": s["versions"][path], "index": s["index"]})
    return (yield order(ctx, path, body, version.ok, bases))


def taken(wanted, result):
    if result.is_error():
        unknown = isinstance(result.error, faults.Undecided)
        return Error(faults.ConfigUnknown()) if unknown else result
    if isinstance(result.ok, StaleConfig):
        return Error(faults.ConfigMoved(result.ok.path, result.ok.version))
    return result if isinstance(result.ok, wanted) else Error(faults.ConfigUnknown())


@inlineCallbacks
def order(ctx, path, body, version, bases):
    doors = ctx.settings.doors
    item = yield shelves.put(ctx, body)
    if not (yield shelves.spread(ctx, item)):
        return Error(faults.Undecided())
    result = taken(
        ConfigSet,
        (
            yield ask(
                ctx, SetConfig(path, item.digest, item.size, version, item.source, item.number, bases), doors.ackMs
            )
        ),
    )
    if result.is_error():
        return result
    index = result.ok.index
    if not (yield until(ctx, lambda: everywhere(ctx, index, "~honoured"), doors.ackMs)):
        return Error(faults.ConfigUnknown())
    say("ConfigSet", path=path, version=result.ok.version, index=index)
    return Ok({"path": path, "version": result.ok.version, "index": index})


def everywhere(ctx, index, what):
    hedge = ctx.core.hedge
    now = nowMs(ctx)
    if not leaseOk(ctx.core, now) or now - hedge.installedMs < hedge.bounds.leaseMs:
        return False
    for member in hedge.configuration.members:
        if member == hedge.me:
            reached = ctx.honoured if what == "~honoured" else hedge.applied
        else:
            peer = hedge.peers.get(member.name)
            if peer is None or peer.place.member != member:
                return False
            reached = peer.news.get(what, 0) if what == "~honoured" else peer.applied
        if reached < index:
            return False
    return True


@inlineCallbacks
def drain(ctx, request, name):
    fault = ready(ctx)
    if fault:
        return Error(fault)
    parsed = calls.bodyOf(request)
    if parsed.is_error():
        return parsed
    leaving = parsed.ok.get("leaving")
    if not isinstance(leaving, bool) or len(parsed.ok) != 1:
        return Error(faults.BadBody("/leaving", "must be true or false, and alone"))
    result = yield ask(ctx, Drain(name, leaving), ctx.settings.doors.askMs)
    if result.is_error():
        return result
    if isinstance(result.ok, NotHeld):
        return Error(faults.NoSuch(f"there is no runner {name}"))
    if not isinstance(result.ok, Done):
        return Error(faults.ConfigUnknown())
    index = result.ok.index
    if not (yield until(ctx, lambda: everywhere(ctx, index, "applied"), ctx.settings.doors.ackMs)):
        return Error(faults.ConfigUnknown())
    return Ok({"runner": name, "leaving": leaving, "index": index})


def routes(app, ctx, answer, turnAway):
    def said(request):
        def finish(result):
            if result.is_error():
                return turnAway(request, result.error, "")
            if "version" in result.ok:
                request.setHeader("etag", f'"{result.ok["version"]}"')
            return answer(request, result.ok)

        return finish

    @app.route("/v1/config/<kind>/<name>", methods=["PUT", "PATCH"])
    def set_(request, kind, name):
        return take(ctx, request, kind, name).addCallback(said(request))

    @app.route("/v1/config", methods=["PUT"])
    def all_(request):
        return sets.takeAll(ctx, request).addCallback(said(request))

    @app.route("/v1/config/<kind>/<name>", methods=["DELETE"])
    def remove_(request, kind, name):
        return sets.remove(ctx, request, f"{kind}/{name}").addCallback(said(request))

    @app.route("/v1/config/<kind>/<name>/rollback", methods=["POST"])
    def rollback_(request, kind, name):
        return take(ctx, request, kind, name, True).addCallback(said(request))

    @app.route("/v1/config/<kind>/<name>/history", methods=["GET"])
    def history_(request, kind, name):
        if not leaseOk(ctx.core, nowMs(ctx)):
            return turnAway(request, faults.NoPrimary(), "")
        return said(request)(sets.history(ctx, f"{kind}/{name}"))

    @app.route("/v1/runners/<name>/drain", methods=["POST"])
    def drain_(request, name):
        return drain(ctx, request, name).addCallback(said(request))
