"""Changes by operators, to configuration documents and drains; answered once every daemon has applied them."""

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

from . import calls, config_sets, errors


def version_of(ctx, path):
    """Return the version of a document in the ledger, 0 if there is none."""
    return config_versions.current_version(ctx.core.ledger, path)


def active_document(ctx, path):
    """Return the parsed document in this daemon's active configuration, or None."""
    entry = ctx.documents.get(path)
    return entry[1] if entry else None


def check_document(ctx, kind, name, document):
    """Check a document together with its dependencies; returns (result, dependencies).

    The dependencies are (path, version) pairs that must still hold when the ledger applies the change.
    """
    if kind == "tenants":
        template = f"templates/{document.get('template')}" if isinstance(document, dict) else ""
        result = validate_tenant(name, document, active_document(ctx, template))
        return result, ((template, version_of(ctx, template)),)
    path = f"templates/{name}"
    tenants = [
        (p.split("/", 1)[1], d)
        for p, (_, d) in ctx.documents.items()
        if p.startswith("tenants/") and d["template"] == name
    ]
    dependencies = tuple((f"tenants/{t}", version_of(ctx, f"tenants/{t}")) for t, _ in tenants)
    return validate_template(document, tenants), (
        *dependencies,
        *(() if dependencies else ((path, version_of(ctx, path)),)),
    )


def expected_version(request, ledger_version):
    """Return the version in the If-Match header, or the ledger's version if there is no header."""
    header = request.getHeader("if-match")
    if header is None:
        return Ok(ledger_version)
    header = header.strip().strip('"')
    if not header.isdigit():
        return Error(errors.BadBody("If-Match", "must be a version number"))
    return Ok(int(header))


def availability_error(ctx):
    """Return the error for which this daemon can't accept changes at present, or None."""
    if ctx.shutting_down:
        return errors.Leaving()
    if not holds_lease(ctx.core, clock_ms(ctx)):
        return errors.NoPrimary()
    if ctx.effective_config_index < ctx.core.ledger.config_index:
        return errors.ConfigChanging()
    return None


@inlineCallbacks
def change_document(ctx, request, kind, name, is_rollback=False):
    """Serve a PUT, PATCH or rollback of one document."""
    error = availability_error(ctx)
    if error:
        return Error(error)
    path, index = f"{kind}/{name}", ctx.core.ledger.config_index
    if kind not in ("templates", "tenants") or not NAME_PATTERN.match(name):
        return Error(errors.NoSuch("configurations are templates/NAME or tenants/NAME"))
    ledger_version = version_of(ctx, path)
    version = expected_version(request, ledger_version)
    if version.is_error():
        return version
    if version.ok != ledger_version:
        return Error(errors.ConfigMoved(path, ledger_version))
    parsed = yield ctx.machine.in_thread(calls.parse_body, request)
    if parsed.is_error():
        return parsed
    document = parsed.ok
    if is_rollback:
        retained_body = config_sets.retained_body(ctx, path, document.get("version"))
        if retained_body.is_error():
            return retained_body
        document = yield ctx.machine.in_thread(json.decode, retained_body.ok)
    elif request.method == b"PATCH":
        if ledger_version == 0:
            return Error(errors.NoSuch(f"there is no {path} to amend"))
        current_document = yield ctx.machine.in_thread(json.decode, config_bodies.current_body(ctx, path))
        document = merge_patch(current_document, document)
    result, dependencies = yield ctx.machine.in_thread(check_document, ctx, kind, name, document)
    if result.is_error():
        return Error(errors.ConfigInvalid(result.error.errors))
    body = yield ctx.machine.in_thread(json.encode, document)
    if kind == "templates" and ctx.core.ledger.rules >= 2:
        committed = yield config_sets.commit_bodies(ctx, {path: body}, index)
        return committed.map(lambda s: {"path": path, "version": s["versions"][path], "index": s["index"]})
    return (yield commit_document(ctx, path, body, version.ok, dependencies))


def config_result(expected_type, result):
    """Convert the ledger's result to one of the HTTP interface; any type but `expected_type` is an error."""
    if result.is_error():
        unknown = isinstance(result.error, errors.Undecided)
        return Error(errors.ConfigUnknown()) if unknown else result
    if isinstance(result.ok, StaleConfig):
        return Error(errors.ConfigMoved(result.ok.path, result.ok.version))
    return result if isinstance(result.ok, expected_type) else Error(errors.ConfigUnknown())


@inlineCallbacks
def commit_document(ctx, path, body, version, dependencies):
    """Replicate a body to a majority, submit the change, and wait until every daemon has activated it."""
    doors = ctx.settings.doors
    item = yield config_bodies.put(ctx, body)
    if not (yield config_bodies.wait_for_majority(ctx, item)):
        return Error(errors.Undecided())
    result = config_result(
        ConfigSet,
        (
            yield submit(
                ctx,
                SetConfig(path, item.digest, item.size, version, item.source, item.number, dependencies),
                doors.ack_ms,
            )
        ),
    )
    if result.is_error():
        return result
    index = result.ok.index
    if not (yield poll_until(ctx, lambda: all_members_reached(ctx, index, "~honoured"), doors.ack_ms)):
        return Error(errors.ConfigUnknown())
    log_event("ConfigSet", path=path, version=result.ok.version, index=index)
    return Ok({"path": path, "version": result.ok.version, "index": index})


def all_members_reached(ctx, index, progress):
    """Return whether every member has reached an index and the leases of non-members have expired.

    progress: "~honoured" for the active configuration, anything else for the applied index.
    """
    synchrony = ctx.core.synchrony
    now = clock_ms(ctx)
    if not holds_lease(ctx.core, now) or now - synchrony.installed_ms < synchrony.bounds.lease_ms:
        return False
    for member in synchrony.configuration.members:
        if member == synchrony.local_member:
            reached = ctx.effective_config_index if progress == "~honoured" else synchrony.applied
        else:
            peer = synchrony.peers.get(member.name)
            if peer is None or peer.endpoint.member != member:
                return False
            reached = peer.status.get(progress, 0) if progress == "~honoured" else peer.applied
        if reached < index:
            return False
    return True


@inlineCallbacks
def drain_runner(ctx, request, name):
    """Serve a request to drain a runner or to end its draining."""
    error = availability_error(ctx)
    if error:
        return Error(error)
    parsed = calls.parse_body(request)
    if parsed.is_error():
        return parsed
    draining = parsed.ok.get("leaving")
    if not isinstance(draining, bool) or len(parsed.ok) != 1:
        return Error(errors.BadBody("/leaving", "must be true or false, and alone"))
    result = yield submit(ctx, Drain(name, draining), ctx.settings.doors.ask_ms)
    if result.is_error():
        return result
    if isinstance(result.ok, NotHeld):
        return Error(errors.NoSuch(f"there is no runner {name}"))
    if not isinstance(result.ok, Done):
        return Error(errors.ConfigUnknown())
    index = result.ok.index
    if not (yield poll_until(ctx, lambda: all_members_reached(ctx, index, "applied"), ctx.settings.doors.ack_ms)):
        return Error(errors.ConfigUnknown())
    return Ok({"runner": name, "leaving": draining, "index": index})


def add_routes(app, ctx, json_response, error_response):
    """Add the paths for configuration changes and drains."""

    def responder(request):
        def respond(result):
            if result.is_error():
                return error_response(request, result.error, "")
            if "version" in result.ok:
                request.setHeader("etag", f'"{result.ok["version"]}"')
            return json_response(request, result.ok)

        return respond

    @app.route("/v1/config/<kind>/<name>", methods=["PUT", "PATCH"])
    def put_document(request, kind, name):
        return change_document(ctx, request, kind, name).addCallback(responder(request))

    @app.route("/v1/config", methods=["PUT"])
    def put_all_documents(request):
        return config_sets.replace_all(ctx, request).addCallback(responder(request))

    @app.route("/v1/config/<kind>/<name>", methods=["DELETE"])
    def delete_document(request, kind, name):
        return config_sets.remove_document(ctx, request, f"{kind}/{name}").addCallback(responder(request))

    @app.route("/v1/config/<kind>/<name>/rollback", methods=["POST"])
    def roll_back_document(request, kind, name):
        return change_document(ctx, request, kind, name, True).addCallback(responder(request))

    @app.route("/v1/config/<kind>/<name>/history", methods=["GET"])
    def get_version_history(request, kind, name):
        if not holds_lease(ctx.core, clock_ms(ctx)):
            return error_response(request, errors.NoPrimary(), "")
        return responder(request)(config_sets.version_history(ctx, f"{kind}/{name}"))

    @app.route("/v1/runners/<name>/drain", methods=["POST"])
    def post_drain(request, name):
        return drain_runner(ctx, request, name).addCallback(responder(request))
