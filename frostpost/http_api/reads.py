"""Reads: status, runners, programs, explanations, configuration, metrics."""

from shutil import disk_usage

from msgspec import Raw
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from frostpost.background.config_bodies import current_body
from frostpost.background.metrics import create_registry
from frostpost.daemon.context import clock_ms
from frostpost.daemon.core import holds_lease
from frostpost.daemon.event_loop import submit
from frostpost.ledger.operations import Look
from frostpost.ledger.programs import is_intact
from frostpost.placement.ranking import PlacementRequest, explain
from frostpost.virtual_synchrony.members import sequencer_of

from . import errors


def status(ctx):
    """Return a daemon's status document."""
    synchrony, ledger = ctx.core.synchrony, ctx.core.ledger
    return {
        "name": synchrony.name,
        "boot": synchrony.local_member.incarnation,
        "role": synchrony.endpoint.role,
        "zone": synchrony.endpoint.zone,
        "serving": holds_lease(ctx.core, clock_ms(ctx)) and not ctx.shutting_down,
        "leaving": ctx.shutting_down,
        "up_ms": clock_ms(ctx) - ctx.started_ms,
        "configuration": {
            "epoch": synchrony.configuration.id.epoch,
            "proposer": synchrony.configuration.id.proposer,
            "members": [m.name for m in synchrony.configuration.members],
            "sequencer": sequencer_of(synchrony),
            "age_ms": synchrony.now_ms - synchrony.installed_ms,
        },
        "recovering": synchrony.recovery is not None,
        "voters": list(ledger.voters),
        "primary": synchrony.primary.opened,
        "rules": ledger.rules,
        "applied": synchrony.applied,
        "config_index": ledger.config_index,
        "honoured": ctx.effective_config_index,
        "clock_ms": ledger.clock_ms,
        "flights": ctx.requests_in_flight,
        "lag_ms": round(ctx.lag_ms, 1),
        "unwell": ctx.disk.unhealthy,
        "corrupt": ctx.disk_damage,
        "syncs": ctx.disk.syncs,
        "duties": {
            n: {"holder": d.holder.name if d.holder else None, "fence": d.fence} for n, d in ledger.duties.items()
        },
        "peers": {
            n: {
                "heard_ms": min(synchrony.now_ms - p.heard_ms, 1 << 31),
                "applied": p.applied,
                "ready": p.ready,
                "unwell": p.unhealthy,
                "honoured": p.status.get("~honoured", 0),
            }
            for n, p in synchrony.peers.items()
        },
        "counts": {**synchrony.counts, **ctx.counts},
        "wall_ms": int(ctx.machine.wall_s() * 1000),
        "list_set": bool(ctx.settings.list),
        "list_age_ms": clock_ms(ctx) - ctx.list_fetched_ms if ctx.list_fetched_ms else None,
        "disk_free_part": free_part(ctx.settings.data),
        "seeds": ctx.settings.seeds,
        "places": [placed(p) for p in (synchrony.endpoint, *(p.endpoint for p in synchrony.peers.values()))],
    }


def free_part(folder):
    """Return the free share of the disk that holds a folder, None for no folder."""
    if not folder:
        return None
    usage = disk_usage(folder)
    return usage.free / usage.total


def placed(endpoint):
    """Return where a daemon listens."""
    return {
        "name": endpoint.member.name,
        "role": endpoint.role,
        "zone": endpoint.zone,
        "inner": f"{endpoint.host}:{endpoint.port}",
        "http": f"{endpoint.host}:{endpoint.http_port}",
    }


def runners(ctx):
    """Return the runners with load and drain marks."""
    ledger = ctx.core.ledger
    found = []
    for runner in ledger.runners.values():
        held = ctx.runner_health.get(runner.name)
        found.append(
            {
                **named(runner),
                "running": ledger.running.get(runner.name, 0),
                "leaving": f"{runner.name}/{runner.instance}" in ledger.leaving,
                "load": held.load if held else None,
                "prefixes": len(held.prefixes) if held else None,
            }
        )
    return {"runners": found}


def named(runner):
    """Return a record's fields by name."""
    return {f: getattr(runner, f) for f in runner.__struct_fields__}


def program(ctx, tenant, name):
    """Return a program's budget and history, or an error."""
    held = ctx.core.ledger.programs.get(f"{tenant}/{name}")
    if held is None:
        return errors.NoSuch("this program has no history kept here")
    if not all(is_intact(line) for line in held.lines):
        return errors.Internal("kept history failed its checksum")
    return {
        "program": name,
        "budget": held.budget,
        "spent": held.spent,
        "reserved": held.reserved,
        "history": [{"input": line.input, "output": line.output} for line in held.lines],
    }


def explained(ctx, tenant, route):
    """Return vetoes and scores of every runner for a route, or an error."""
    found = ctx.routes.get((tenant, route))
    if found is None:
        return errors.NoRoute(f"tenant {tenant} has no route {route}")
    question = PlacementRequest(
        found.pools, ctx.settings.zone, (), "explain", clock_ms(ctx), leaving=frozenset(ctx.core.ledger.leaving)
    )
    rows = explain(question, ctx.core.ledger.runners.values(), ctx.runner_health, ctx.settings.weights)
    return {
        "route": named(found),
        "runners": [{"runner": r.name, "vetoes": v, "scores": s, "total": round(t, 4)} for r, v, s, t in rows],
    }


def config(ctx, path):
    """Return one document with its version, or an error."""
    held, mark = ctx.documents.get(path), ctx.core.ledger.configs.get(path)
    if held is None or mark is None or not mark.digest:
        return errors.NoSuch(f"there is no {path}")
    if mark.version != held[0]:
        return errors.ConfigChanging()
    return {"path": path, "version": held[0], "document": Raw(current_body(ctx, path))}


def configs(ctx):
    """Return the versions of all documents and the index of the last change."""
    ledger = ctx.core.ledger
    return {
        "index": ledger.config_index,
        "configs": {
            p: {"version": m.version, "digest": m.digest, "size": m.size} for p, m in ledger.configs.items() if m.digest
        },
    }


def routes(app, ctx, answer, refuse):
    """Add the paths of reads."""

    def serve(request, found):
        if isinstance(found, dict):
            if "version" in found:
                request.setHeader("etag", f'"{found["version"]}"')
            return answer(request, found)
        return refuse(request, found, "")

    def leased(request, look):
        if not holds_lease(ctx.core, clock_ms(ctx)):
            return refuse(request, errors.NoPrimary(), "")
        if ctx.effective_config_index < ctx.required_config_index:
            return refuse(request, errors.ConfigChanging(), "")
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
                return refuse(request, result.error, "")
            return leased(request, lambda: program(ctx, tenant, name))

        return submit(ctx, Look(), ctx.settings.doors.ask_ms).addCallback(look)

    @app.route("/v1/tenants/<tenant>/routes/<route>/explain", methods=["GET"])
    def explain_(request, tenant, route):
        return leased(request, lambda: explained(ctx, tenant, route))

    @app.route("/v1/config", methods=["GET"])
    def configs_(request):
        return leased(request, lambda: configs(ctx))

    @app.route("/v1/config/<kind>/<name>", methods=["GET"])
    def config_(request, kind, name):
        return leased(request, lambda: config(ctx, f"{kind}/{name}"))

    @app.route("/v1/ready", methods=["GET"])
    def ready(request):
        if ctx.shutting_down:
            return refuse(request, errors.Leaving(), "")
        if not holds_lease(ctx.core, clock_ms(ctx)) or ctx.effective_config_index < ctx.required_config_index:
            return refuse(request, errors.NoPrimary(), "")
        return answer(request, {"ready": True})

    @app.route("/metrics", methods=["GET"])
    def metrics(request):
        request.setHeader("content-type", CONTENT_TYPE_LATEST)
        return generate_latest(create_registry(ctx))
