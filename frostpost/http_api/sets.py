"""All documents changed as one, removals, and earlier versions."""

from expression import Error, Ok
from msgspec import json
from twisted.internet.defer import inlineCallbacks

from frostpost.background import config_bodies
from frostpost.daemon.event_loop import submit
from frostpost.daemon.polling import poll_until
from frostpost.daemon.structured_log import log_event
from frostpost.ledger import config_versions
from frostpost.ledger.operations import Change, SetMany
from frostpost.ledger.results import ManySet
from frostpost.tenant_config.body_store import digest_of
from frostpost.tenant_config.instantiation import validate_template
from frostpost.tenant_config.schemas import NAME_PATTERN, FieldError

from . import calls, control, errors


def split_paths(document):
    """Return (documents by path, errors) of a body with templates and tenants by name."""
    found, wrong = {}, []
    for kind, named in document.items():
        if kind not in ("templates", "tenants") or not isinstance(named, dict):
            wrong.append(FieldError(f"/{kind}", "give templates and tenants, each an object by name"))
            continue
        for name, one in named.items():
            if not NAME_PATTERN.match(name):
                wrong.append(FieldError(f"/{kind}/{name}", "is no name"))
            found[f"{kind}/{name}"] = one
    return found, wrong


def judge(found):
    """Check all documents together; return (errors, encoded bodies by path)."""
    wrong, used = [], set()
    for path, one in found.items():
        if not path.startswith("templates/"):
            continue
        name = path.split("/", 1)[1]
        tenants = [
            (p.split("/", 1)[1], d)
            for p, d in found.items()
            if p.startswith("tenants/") and isinstance(d, dict) and d.get("template") == name
        ]
        used |= {f"tenants/{t}" for t, _ in tenants}
        result = validate_template(one, tenants)
        if result.is_error():
            wrong += [FieldError(f"/{path}{f.path}", f.text) for f in result.error.errors]
    wrong += [
        FieldError(f"/{p}/template", "no such template") for p in found if p.startswith("tenants/") and p not in used
    ]
    return wrong, {p: json.encode(d) for p, d in found.items()}


def changed(ctx, bodies):
    """Return the bodies that differ from the ledger's; None for documents to be removed."""
    marks = {p: m for p, m in ctx.core.ledger.configs.items() if m.digest}
    fresh = {p: b for p, b in bodies.items() if p not in marks or marks[p].digest != digest_of(b)}
    return fresh | {p: None for p in marks if p not in bodies}


@inlineCallbacks
def order(ctx, bodies, index):
    """Store bodies with a majority, order their change as one, and wait until every daemon honours it."""
    doors, changes = ctx.settings.doors, []
    for path, body in bodies.items():
        held = config_versions.current_version(ctx.core.ledger, path)
        if body is None:
            changes.append(Change(path, config_versions.REMOVED_DIGEST, 0, held, "", 0))
            continue
        item = yield config_bodies.put(ctx, body)
        if not (yield config_bodies.wait_for_majority(ctx, item)):
            return Error(errors.Undecided())
        changes.append(Change(path, item.digest, item.size, held, item.source, item.number))
    result = control.taken(ManySet, (yield submit(ctx, SetMany(tuple(changes), index), doors.ack_ms)))
    if result.is_error():
        return result
    done = result.ok
    if not (yield poll_until(ctx, lambda: control.everywhere(ctx, done.index, "~honoured"), doors.ack_ms)):
        return Error(errors.ConfigUnknown())
    log_event("ConfigsSet", paths=list(bodies), index=done.index)
    return Ok({"versions": dict(done.versions), "index": done.index})


def begin(ctx, request):
    """Return the index that the change must match, or why it can't be made now."""
    error = control.ready(ctx)
    if error is None and ctx.core.ledger.rules < 2:
        error = errors.OlderRules()
    if error is not None:
        return Error(error)
    index = ctx.core.ledger.config_index
    said = control.if_match(request, index)
    if said.is_ok() and said.ok != index:
        return Error(errors.ConfigMoved(config_versions.ALL_DOCUMENTS, index))
    return said


@inlineCallbacks
def take_all(ctx, request):
    """Serve a PUT of all documents."""
    index = begin(ctx, request)
    if index.is_error():
        return index
    parsed = yield ctx.machine.in_thread(calls.body_of, request)
    if parsed.is_error():
        return parsed
    found, wrong = split_paths(parsed.ok)
    if not wrong:
        wrong, bodies = yield ctx.machine.in_thread(judge, found)
    if wrong:
        return Error(errors.ConfigInvalid(tuple(wrong)))
    fresh = changed(ctx, bodies)
    if not fresh:
        return Ok({"versions": {}, "index": index.ok})
    return (yield order(ctx, fresh, index.ok))


@inlineCallbacks
def remove(ctx, request, path):
    """Serve a DELETE of one document."""
    error = control.ready(ctx)
    if error is None and ctx.core.ledger.rules < 2:
        error = errors.OlderRules()
    if error is not None:
        return Error(error)
    held, at = config_versions.current_version(ctx.core.ledger, path), ctx.core.ledger.config_index
    version = control.if_match(request, held)
    if version.is_error():
        return version
    if not held or version.ok != held:
        return Error(errors.ConfigMoved(path, held) if held else errors.NoSuch(f"there is no {path}"))
    users = [p for p, (_, d) in ctx.documents.items() if f"templates/{d.get('template')}" == path]
    if users:
        return Error(errors.ConfigInUse(path, f"{', '.join(sorted(users))} use it"))
    said = yield order(ctx, {path: None}, at)
    return said.map(lambda s: {"path": path, "version": s["versions"][path], "index": s["index"], "removed": True})


def history(ctx, path):
    """Return the kept versions of a document."""
    marks = ctx.core.ledger.past.get(path)
    if not marks:
        return Error(errors.NoSuch(f"there is no history of {path}"))
    return Ok(
        {
            "path": path,
            "versions": [
                {"version": m.version, "digest": m.digest, "size": m.size, "index": m.index, "removed": not m.digest}
                for m in marks
            ],
        }
    )


def former(ctx, path, number):
    """Return the body of a kept version of a document."""
    mark = next((m for m in ctx.core.ledger.past.get(path, ()) if m.version == number and m.digest), None)
    body = ctx.body_store.bodies.get(mark.digest) if mark else None
    return Error(errors.NoSuch(f"no version {number} of {path} is kept")) if body is None else Ok(body)
