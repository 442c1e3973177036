"""Operators' changes: configuration documents and drains, answered once every daemon honours them."""

from expression import Error, Ok
from msgspec import json
from twisted.internet.defer import inlineCallbacks

from frostpost.background import config_bodies
from frostpost.daemon.context import clock_ms
from frostpost.daemon.core import holds_lease
from frostpost.daemon.event_loop import submit
from frostpost.daemon.polling import poll_until
from frostpost.daemon.structured_log import log_event
from frostpost.ledger import config_versions
from frostpost.ledger.operations import Drain, SetConfig
from frostpost.ledger.results import ConfigSet, Done, NotHeld, StaleConfig
from frostpost.tenant_config.instantiation import merge_patch, validate_template, validate_tenant
from frostpost.tenant_config.schemas import NAME_PATTERN

from . import calls, errors, sets


def version_of(ctx, path):
    """Return the version of a document in the ledger, 0 if there is none."""
    return config_versions.current_version(ctx.core.ledger, path)


def document_of(ctx, path):
    """Return the parsed document that this daemon honours, or None."""
    held = ctx.documents.get(path)
    return held[1] if held else None


def judge(ctx, kind, name, document):
    """Check a document with those it depends on; return (result, versions it was checked against)."""
    if kind == "tenants":
        template = f"templates/{document.get('template')}" if isinstance(document, dict) else ""
        result = validate_tenant(name, document, document_of(ctx, template))
        return result, ((template, version_of(ctx, template)),)
    path = f"templates/{name}"
    tenants = [
        (p.split("/", 1)[1], d)
        for p, (_, d) in ctx.documents.items()
        if p.startswith("tenants/") and d["template"] == name
    ]
    bases = tuple((f"tenants/{t}", version_of(ctx, f"tenants/{t}")) for t, _ in tenants)
    return validate_template(document, tenants), (*bases, *(() if bases else ((path, version_of(ctx, path)),)))


def if_match(request, held):
    """Return the version that If-Match names, or the one held without that header."""
    said = request.getHeader("if-match")
    if said is None:
        return Ok(held)
    said = said.strip().strip('"')
    if not said.isdigit():
        return Error(errors.BadBody("If-Match", "must be a version number"))
    return Ok(int(said))


def ready(ctx):
    """Return why this daemon can't take changes now, or None."""
    if ctx.shutting_down:
        return errors.Leaving()
    if not holds_lease(ctx.core, clock_ms(ctx)):
        return errors.NoPrimary()
    if ctx.effective_config_index < ctx.core.ledger.config_index:
        return errors.ConfigChanging()
    return None


@inlineCallbacks
def take(ctx, request, kind, name, back=False):
    """Serve a PUT, PATCH or rollback of one document."""
    error = ready(ctx)
    if error:
        return Error(error)
    path, index = f"{kind}/{name}", ctx.core.ledger.config_index
    if kind not in ("templates", "tenants") or not NAME_PATTERN.match(name):
        return Error(errors.NoSuch("configurations are templates/NAME or tenants/NAME"))
    held = version_of(ctx, path)
    version = if_match(request, held)
    if version.is_error():
        return version
    if version.ok != held:
        return Error(errors.ConfigMoved(path, held))
    parsed = yield ctx.machine.in_thread(calls.body_of, request)
    if parsed.is_error():
        return parsed
    document = parsed.ok
    if back:
        former = sets.former(ctx, path, document.get("version"))
        if former.is_error():
            return former
        document = yield ctx.machine.in_thread(json.decode, former.ok)
    elif request.method == b"PATCH":
        if held == 0:
            return Error(errors.NoSuch(f"there is no {path} to amend"))
        whole = yield ctx.machine.in_thread(json.decode, config_bodies.current_body(ctx, path))
        document = merge_patch(whole, document)
    result, bases = yield ctx.machine.in_thread(judge, ctx, kind, name, document)
    if result.is_error():
        return Error(errors.ConfigInvalid(result.error.errors))
    body = yield ctx.machine.in_thread(json.encode, document)
    if kind == "templates" and ctx.core.ledger.rules >= 2:
        said = yield sets.order(ctx, {path: body}, index)
        return said.map(lambda s: {"path": path, "version": s["versions"][path], "index": s["index"]})
    return (yield order(ctx, path, body, version.ok, bases))


def taken(wanted, result):
    """Turn the ledger's result into the interface's; anything but `wanted` is an error."""
    if result.is_error():
        unknown = isinstance(result.error, errors.Undecided)
        return Error(errors.ConfigUnknown()) if unknown else result
    if isinstance(result.ok, StaleConfig):
        return Error(errors.ConfigMoved(result.ok.path, result.ok.version))
    return result if isinstance(result.ok, wanted) else Error(errors.ConfigUnknown())


@inlineCallbacks
def order(ctx, path, body, version, bases):
    """Store a body with a majority, order the change, and wait until every daemon honours it."""
    doors = ctx.settings.doors
    item = yield config_bodies.put(ctx, body)
    if not (yield config_bodies.wait_for_majority(ctx, item)):
        return Error(errors.Undecided())
    result = taken(
        ConfigSet,
        (
            yield submit(
                ctx, SetConfig(path, item.digest, item.size, version, item.source, item.number, bases), doors.ack_ms
            )
        ),
    )
    if result.is_error():
        return result
    index = result.ok.index
    if not (yield poll_until(ctx, lambda: everywhere(ctx, index, "~honoured"), doors.ack_ms)):
        return Error(errors.ConfigUnknown())
    log_event("ConfigSet", path=path, version=result.ok.version, index=index)
    return Ok({"path": path, "version": result.ok.version, "index": index})


def everywhere(ctx, index, what):
    """Tell whether every member has reached an index and leases of daemons outside have run out."""
    synchrony = ctx.core.synchrony
    now = clock_ms(ctx)
    if not holds_lease(ctx.core, now) or now - synchrony.installed_ms < synchrony.bounds.lease_ms:
        return False
    for member in synchrony.configuration.members:
        if member == synchrony.local_member:
            reached = ctx.effective_config_index if what == "~honoured" else synchrony.applied
        else:
            peer = synchrony.peers.get(member.name)
            if peer is None or peer.endpoint.member != member:
                return False
            reached = peer.status.get(what, 0) if what == "~honoured" else peer.applied
        if reached < index:
            return False
    return True


@inlineCallbacks
def drain(ctx, request, name):
    """Serve a drain request."""
    error = ready(ctx)
    if error:
        return Error(error)
    parsed = calls.body_of(request)
    if parsed.is_error():
        return parsed
    leaving = parsed.ok.get("leaving")
    if not isinstance(leaving, bool) or len(parsed.ok) != 1:
        return Error(errors.BadBody("/leaving", "must be true or false, and alone"))
    result = yield submit(ctx, Drain(name, leaving), ctx.settings.doors.ask_ms)
    if result.is_error():
        return result
    if isinstance(result.ok, NotHeld):
        return Error(errors.NoSuch(f"there is no runner {name}"))
    if not isinstance(result.ok, Done):
        return Error(errors.ConfigUnknown())
    index = result.ok.index
    if not (yield poll_until(ctx, lambda: everywhere(ctx, index, "applied"), ctx.settings.doors.ack_ms)):
        return Error(errors.ConfigUnknown())
    return Ok({"runner": name, "leaving": leaving, "index": index})


def routes(app, ctx, answer, refuse):
    """Add the paths of configuration and drains."""

    def said(request):
        def finish(result):
            if result.is_error():
                return refuse(request, result.error, "")
            if "version" in result.ok:
                request.setHeader("etag", f'"{result.ok["version"]}"')
            return answer(request, result.ok)

        return finish

    @app.route("/v1/config/<kind>/<name>", methods=["PUT", "PATCH"])
    def set_(request, kind, name):
        return take(ctx, request, kind, name).addCallback(said(request))

    @app.route("/v1/config", methods=["PUT"])
    def all_(request):
        return sets.take_all(ctx, request).addCallback(said(request))

    @app.route("/v1/config/<kind>/<name>", methods=["DELETE"])
    def remove_(request, kind, name):
        return sets.remove(ctx, request, f"{kind}/{name}").addCallback(said(request))

    @app.route("/v1/config/<kind>/<name>/rollback", methods=["POST"])
    def rollback_(request, kind, name):
        return take(ctx, request, kind, name, True).addCallback(said(request))

    @app.route("/v1/config/<kind>/<name>/history", methods=["GET"])
    def history_(request, kind, name):
        if not holds_lease(ctx.core, clock_ms(ctx)):
            return refuse(request, errors.NoPrimary(), "")
        return said(request)(sets.history(ctx, f"{kind}/{name}"))

    @app.route("/v1/runners/<name>/drain", methods=["POST"])
    def drain_(request, name):
        return drain(ctx, request, name).addCallback(said(request))
