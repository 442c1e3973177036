from shutil import disk_usage

from msgspec import Raw
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from frostpost.ledger.programs import whole
from frostpost.ledger.words import Look
from frostpost.placement.judge import Question, explain
from frostpost.virtual_synchrony.state import sequencer
from frostpost.daemon.context import nowMs
from frostpost.daemon.core import leaseOk
from frostpost.daemon.heart import ask
from frostpost.background.meters import gather
from frostpost.background.shelves import bodyOf
from . import faults


def status(ctx):
    hedge, granary = ctx.core.hedge, ctx.core.granary
    return {
        "name": hedge.name,
        "boot": hedge.me.boot,
        "role": hedge.place.role,
        "cell": hedge.place.cell,
        "serving": leaseOk(ctx.core, nowMs(ctx)) and not ctx.leaving,
        "leaving": ctx.leaving,
        "upMs": nowMs(ctx) - ctx.startedMs,
        "configuration": {
            "epoch": hedge.configuration.id.epoch,
            "proposer": hedge.configuration.id.proposer,
            "members": [m.name for m in hedge.configuration.members],
            "sequencer": sequencer(hedge),
            "ageMs": hedge.nowMs - hedge.installedMs,
        },
        "recovering": hedge.recovery is not None,
        "voters": list(granary.voters),
        "primary": hedge.primary.opened,
        "rules": granary.rules,
        "applied": hedge.applied,
        "configIndex": granary.configIndex,
        "honoured": ctx.honoured,
        "clockMs": granary.clockMs,
        "flights": ctx.flights,
        "lagMs": round(ctx.lagMs, 1),
        "unwell": ctx.disk.unwell,
        "corrupt": ctx.corrupt,
        "syncs": ctx.disk.syncs,
        "duties": {
            n: {"holder": d.holder.name if d.holder else None, "fence": d.fence} for n, d in granary.duties.items()
        },
        "peers": {
            n: {
                "heardMs": min(hedge.nowMs - p.heardMs, 1 << 31),
                "applied": p.applied,
                "ready": p.ready,
                "unwell": p.unwell,
                "honoured": p.news.get("~honoured", 0),
            }
            for n, p in hedge.peers.items()
        },
        "counts": {**hedge.counts, **ctx.counts},
        "wallMs": int(ctx.machine.wallS() * 1000),
        "listSet": bool(ctx.settings.list),
        "listAgeMs": nowMs(ctx) - ctx.listedMs if ctx.listedMs else None,
        "diskFreePart": freePart(ctx.settings.data),
        "seeds": ctx.settings.seeds,
        "places": [placed(p) for p in (hedge.place, *(p.place for p in hedge.peers.values()))],
    }


def freePart(folder):
    if not folder:
        return None
    usage = disk_usage(folder)
    return usage.free / usage.total


def placed(place):
    return {
        "name": place.member.name,
        "role": place.role,
        "cell": place.cell,
        "inner": f"{place.host}:{place.port}",
        "http": f"{place.host}:{place.httpPort}",
    }


def runners(ctx):
    granary = ctx.core.granary
    found = []
    for runner in granary.runners.values():
        held = ctx.statuses.get(runner.name)
        found.append(
            {
                **named(runner),
                "running": granary.running.get(runner.name, 0),
                "leaving": f"{runner.name}/{runner.instance}" in granary.leaving,
                "load": held.load if held else None,
                "prefixes": len(held.prefixes) if held else None,
            }
        )
    return {"runners": found}


def named(runner):
    return {f: getattr(runner, f) for f in runner.__struct_fields__}


def program(ctx, tenant, name):
    held = ctx.core.granary.programs.get(f"{tenant}/{name}")
    if held is None:
        return faults.NoSuch("this program has no history kept here")
    if not all(whole(line) for line in held.lines):
        return faults.Internal("kept history failed its checksum")
    return {
        "program": name,
        "budget": held.budget,
        "spent": held.spent,
        "reserved": held.reserved,
        "history": [{"input": line.input, "output": line.output} for line in held.lines],
    }


def explained(ctx, tenant, lane):
    found = ctx.lanes.get((tenant, lane))
    if found is None:
        return faults.NoLane(f"tenant {tenant} has no lane {lane}")
    question = Question(
        found.pools, ctx.settings.cell, (), "explain", nowMs(ctx), leaving=frozenset(ctx.core.granary.leaving)
    )
    rows = explain(question, ctx.core.granary.runners.values(), ctx.statuses, ctx.settings.weights)
    return {
        "lane": named(found),
        "runners": [{"runner": r.name, "vetoes": v, "scores": s, "total": round(t, 4)} for r, v, s, t in rows],
    }


def config(ctx, path):
    held, mark = ctx.documents.get(path), ctx.core.granary.configs.get(path)
    if held is None or mark is None or not mark.digest:
        return faults.NoSuch(f"there is no {path}")
    if mark.version != held[0]:
        return faults.ConfigChanging()
    return {"path": path, "version": held[0], "document": Raw(bodyOf(ctx, path))}


def configs(ctx):
    granary = ctx.core.granary
    return {
        "index": granary.configIndex,
        "configs": {
            p: {"version": m.version, "digest": m.digest, "size": m.size}
            for p, m in granary.configs.items()
            if m.digest
        },
    }


def routes(app, ctx, answer, turnAway):
    def serve(request, found):
        if isinstance(found, dict):
            if "version" in found:
                request.setHeader("etag", f'"{found["version"]}"')
            return answer(request, found)
        return turnAway(request, found, "")

    def leased(request, look):
        if not leaseOk(ctx.core, nowMs(ctx)):
            return turnAway(request, faults.NoPrimary(), "")
        if ctx.honoured < ctx.needConfig:
            return turnAway(request, faults.ConfigChanging(), "")
        return serve(request, look())

    @app.route("/v1/status", methods=["GET"])
    def status_(request):
        return serve(request, status(ctx))

    @app.route("/v1/runners", methods=["GET"])
    def runners_(request):
        return leased(request, lambda: runners(ctx))

    @app.route("/v1/tenants/<tenant>/programs/<name>", methods=["GET"])
    def program_(request, tenant, name):
        def look(result):
            if result.is_error():
                return turnAway(request, result.error, "")
            return leased(request, lambda: program(ctx, tenant, name))

        return ask(ctx, Look(), ctx.settings.doors.askMs).addCallback(look)

    @app.route("/v1/tenants/<tenant>/lanes/<lane>/explain", methods=["GET"])
    def explain_(request, tenant, lane):
        return leased(request, lambda: explained(ctx, tenant, lane))

    @app.route("/v1/config", methods=["GET"])
    def configs_(request):
        return leased(request, lambda: configs(ctx))

    @app.route("/v1/config/<kind>/<name>", methods=["GET"])
    def config_(request, kind, name):
        return leased(request, lambda: config(ctx, f"{kind}/{name}"))

    @app.route("/v1/ready", methods=["GET"])
    def ready(request):
        if ctx.leaving:
            return turnAway(request, faults.Leaving(), "")
        if not leaseOk(ctx.core, nowMs(ctx)) or ctx.honoured < ctx.needConfig:
            return turnAway(request, faults.NoPrimary(), "")
        return answer(request, {"ready": True})

    @app.route("/metrics", methods=["GET"])
    def metrics(request):
        request.setHeader("content-type", CONTENT_TYPE_LATEST)
        return generate_latest(gather(ctx))
