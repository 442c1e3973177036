"""Read-only paths: status, runners, programs, placement explanations, configuration and metrics."""

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


def daemon_status(ctx):
    """Return the status document of this daemon."""
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
        "disk_free_part": free_disk_fraction(ctx.settings.data),
        "seeds": ctx.settings.seeds,
        "places": [addresses_of(p) for p in (synchrony.endpoint, *(p.endpoint for p in synchrony.peers.values()))],
    }


def free_disk_fraction(folder):
    """Return the free fraction of the disk that contains a folder; None for no folder."""
    if not folder:
        return None
    usage = disk_usage(folder)
    return usage.free / usage.total


def addresses_of(endpoint):
    """Return the addresses, role and zone of a daemon."""
    return {
        "name": endpoint.member.name,
        "role": endpoint.role,
        "zone": endpoint.zone,
        "inner": f"{endpoint.host}:{endpoint.port}",
        "http": f"{endpoint.host}:{endpoint.http_port}",
    }


def runner_list(ctx):
    """Return the registered runners with their load and draining state."""
    ledger = ctx.core.ledger
    rows = []
    for runner in ledger.runners.values():
        health = ctx.runner_health.get(runner.name)
        rows.append(
            {
                **fields_of(runner),
                "running": ledger.running.get(runner.name, 0),
                "leaving": f"{runner.name}/{runner.instance}" in ledger.leaving,
                "load": health.load if health else None,
                "prefixes": len(health.prefixes) if health else None,
            }
        )
    return {"runners": rows}


def fields_of(runner):
    """Return the fields of a struct by name."""
    return {f: getattr(runner, f) for f in runner.__struct_fields__}


def program_state(ctx, tenant, name):
    """Return a program's budget and history, or an error."""
    state = ctx.core.ledger.programs.get(f"{tenant}/{name}")
    if state is None:
        return errors.NoSuch("this program has no history kept here")
    if not all(is_intact(line) for line in state.lines):
        return errors.Internal("kept history failed its checksum")
    return {
        "program": name,
        "budget": state.budget,
        "spent": state.spent,
        "reserved": state.reserved,
        "history": [{"input": line.input, "output": line.output} for line in state.lines],
    }


def explain_route(ctx, tenant, route):
    """Return the vetoes and scores of every runner for a route, or an error."""
    settings = ctx.routes.get((tenant, route))
    if settings is None:
        return errors.NoRoute(f"tenant {tenant} has no route {route}")
    placement_request = PlacementRequest(
        settings.pools, ctx.settings.zone, (), "explain", clock_ms(ctx), leaving=frozenset(ctx.core.ledger.leaving)
    )
    rows = explain(placement_request, ctx.core.ledger.runners.values(), ctx.runner_health, ctx.settings.weights)
    return {
        "route": fields_of(settings),
        "runners": [{"runner": r.name, "vetoes": v, "scores": s, "total": round(t, 4)} for r, v, s, t in rows],
    }


def config_document(ctx, path):
    """Return one document with its version, or an error."""
    active, version_entry = ctx.documents.get(path), ctx.core.ledger.configs.get(path)
    if active is None or version_entry is None or not version_entry.digest:
        return errors.NoSuch(f"there is no {path}")
    if version_entry.version != active[0]:
        return errors.ConfigChanging()
    return {"path": path, "version": active[0], "document": Raw(current_body(ctx, path))}


def config_versions(ctx):
    """Return the versions of all documents and the index of the last change."""
    ledger = ctx.core.ledger
    return {
        "index": ledger.config_index,
        "configs": {
            p: {"version": m.version, "digest": m.digest, "size": m.size} for p, m in ledger.configs.items() if m.digest
        },
    }


def add_routes(app, ctx, json_response, error_response):
    """Add the read-only paths."""

    def respond(request, result):
        if isinstance(result, dict):
            if "version" in result:
                request.setHeader("etag", f'"{result["version"]}"')
            return json_response(request, result)
        return error_response(request, result, "")

    def respond_under_lease(request, read):
        if not holds_lease(ctx.core, clock_ms(ctx)):
            return error_response(request, errors.NoPrimary(), "")
        if ctx.effective_config_index < ctx.required_config_index:
            return error_response(request, errors.ConfigChanging(), "")
        return respond(request, read())

    @app.route("/v1/status", methods=["GET"])
    def get_status(request):
        return respond(request, daemon_status(ctx))

    @app.route("/v1/runners", methods=["GET"])
    def get_runners(request):
        return respond_under_lease(request, lambda: runner_list(ctx))

    @app.route("/v1/tenants/<tenant>/programs/<name>", methods=["GET"])
    def get_program(request, tenant, name):
        def on_look(result):
            if result.is_error():
                return error_response(request, result.error, "")
            return respond_under_lease(request, lambda: program_state(ctx, tenant, name))

        return submit(ctx, Look(), ctx.settings.doors.ask_ms).addCallback(on_look)

    @app.route("/v1/tenants/<tenant>/routes/<route>/explain", methods=["GET"])
    def get_explanation(request, tenant, route):
        return respond_under_lease(request, lambda: explain_route(ctx, tenant, route))

    @app.route("/v1/config", methods=["GET"])
    def get_configs(request):
        return respond_under_lease(request, lambda: config_versions(ctx))

    @app.route("/v1/config/<kind>/<name>", methods=["GET"])
    def get_config(request, kind, name):
        return respond_under_lease(request, lambda: config_document(ctx, f"{kind}/{name}"))

    @app.route("/v1/ready", methods=["GET"])
    def get_ready(request):
        if ctx.shutting_down:
            return error_response(request, errors.Leaving(), "")
        if not holds_lease(ctx.core, clock_ms(ctx)) or ctx.effective_config_index < ctx.required_config_index:
            return error_response(request, errors.NoPrimary(), "")
        return json_response(request, {"ready": True})

    @app.route("/metrics", methods=["GET"])
    def get_metrics(request):
        request.setHeader("content-type", CONTENT_TYPE_LATEST)
        return generate_latest(create_registry(ctx))
