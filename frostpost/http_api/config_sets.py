"""Atomic replacement of all configuration documents, removals, and the history of versions."""

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


def split_paths(body):
    """Return (documents by path, errors) for a body with templates and tenants by name."""
    documents, field_errors = {}, []
    for kind, named in body.items():
        if kind not in ("templates", "tenants") or not isinstance(named, dict):
            field_errors.append(FieldError(f"/{kind}", "give templates and tenants, each an object by name"))
            continue
        for name, document in named.items():
            if not NAME_PATTERN.match(name):
                field_errors.append(FieldError(f"/{kind}/{name}", "is no name"))
            documents[f"{kind}/{name}"] = document
    return documents, field_errors


def check_documents(documents):
    """Check all documents together; return (errors, encoded bodies by path)."""
    field_errors, checked_tenants = [], set()
    for path, document in documents.items():
        if not path.startswith("templates/"):
            continue
        name = path.split("/", 1)[1]
        tenants = [
            (p.split("/", 1)[1], d)
            for p, d in documents.items()
            if p.startswith("tenants/") and isinstance(d, dict) and d.get("template") == name
        ]
        checked_tenants |= {f"tenants/{t}" for t, _ in tenants}
        result = validate_template(document, tenants)
        if result.is_error():
            field_errors += [FieldError(f"/{path}{f.path}", f.text) for f in result.error.errors]
    field_errors += [
        FieldError(f"/{p}/template", "no such template")
        for p in documents
        if p.startswith("tenants/") and p not in checked_tenants
    ]
    return field_errors, {p: json.encode(d) for p, d in documents.items()}


def changed_bodies(ctx, bodies):
    """Return the bodies that differ from the ledger's by path; None for documents to be removed."""
    entries = {p: m for p, m in ctx.core.ledger.configs.items() if m.digest}
    changes = {p: b for p, b in bodies.items() if p not in entries or entries[p].digest != digest_of(b)}
    return changes | {p: None for p in entries if p not in bodies}


@inlineCallbacks
def commit_bodies(ctx, bodies, index):
    """Replicate bodies to a majority, submit them as one change, and wait until every daemon has activated it."""
    doors, changes = ctx.settings.doors, []
    for path, body in bodies.items():
        ledger_version = config_versions.current_version(ctx.core.ledger, path)
        if body is None:
            changes.append(Change(path, config_versions.REMOVED_DIGEST, 0, ledger_version, "", 0))
            continue
        item = yield config_bodies.put(ctx, body)
        if not (yield config_bodies.wait_for_majority(ctx, item)):
            return Error(errors.Undecided())
        changes.append(Change(path, item.digest, item.size, ledger_version, item.source, item.number))
    result = control.config_result(ManySet, (yield submit(ctx, SetMany(tuple(changes), index), doors.ack_ms)))
    if result.is_error():
        return result
    committed = result.ok
    if not (
        yield poll_until(ctx, lambda: control.all_members_reached(ctx, committed.index, "~honoured"), doors.ack_ms)
    ):
        return Error(errors.ConfigUnknown())
    log_event("ConfigsSet", paths=list(bodies), index=committed.index)
    return Ok({"versions": dict(committed.versions), "index": committed.index})


def base_index(ctx, request):
    """Return the configuration index that the change is based on, or the error that prevents the change."""
    error = control.availability_error(ctx)
    if error is None and ctx.core.ledger.rules < 2:
        error = errors.OlderRules()
    if error is not None:
        return Error(error)
    index = ctx.core.ledger.config_index
    expected = control.expected_version(request, index)
    if expected.is_ok() and expected.ok != index:
        return Error(errors.ConfigMoved(config_versions.ALL_DOCUMENTS, index))
    return expected


@inlineCallbacks
def replace_all(ctx, request):
    """Serve a PUT of all documents; documents that are left out are removed."""
    index = base_index(ctx, request)
    if index.is_error():
        return index
    parsed = yield ctx.machine.in_thread(calls.parse_body, request)
    if parsed.is_error():
        return parsed
    documents, field_errors = split_paths(parsed.ok)
    if not field_errors:
        field_errors, bodies = yield ctx.machine.in_thread(check_documents, documents)
    if field_errors:
        return Error(errors.ConfigInvalid(tuple(field_errors)))
    changes = changed_bodies(ctx, bodies)
    if not changes:
        return Ok({"versions": {}, "index": index.ok})
    return (yield commit_bodies(ctx, changes, index.ok))


@inlineCallbacks
def remove_document(ctx, request, path):
    """Serve a DELETE of one document."""
    error = control.availability_error(ctx)
    if error is None and ctx.core.ledger.rules < 2:
        error = errors.OlderRules()
    if error is not None:
        return Error(error)
    ledger_version, index = config_versions.current_version(ctx.core.ledger, path), ctx.core.ledger.config_index
    version = control.expected_version(request, ledger_version)
    if version.is_error():
        return version
    if not ledger_version or version.ok != ledger_version:
        return Error(
            errors.ConfigMoved(path, ledger_version) if ledger_version else errors.NoSuch(f"there is no {path}")
        )
    dependents = [p for p, (_, d) in ctx.documents.items() if f"templates/{d.get('template')}" == path]
    if dependents:
        return Error(errors.ConfigInUse(path, f"{', '.join(sorted(dependents))} use it"))
    committed = yield commit_bodies(ctx, {path: None}, index)
    return committed.map(lambda s: {"path": path, "version": s["versions"][path], "index": s["index"], "removed": True})


def version_history(ctx, path):
    """Return the retained versions of a document."""
    entries = ctx.core.ledger.past.get(path)
    if not entries:
        return Error(errors.NoSuch(f"there is no history of {path}"))
    return Ok(
        {
            "path": path,
            "versions": [
                {"version": m.version, "digest": m.digest, "size": m.size, "index": m.index, "removed": not m.digest}
                for m in entries
            ],
        }
    )


def retained_body(ctx, path, number):
    """Return the body of a retained version of a document."""
    entry = next((m for m in ctx.core.ledger.past.get(path, ()) if m.version == number and m.digest), None)
    body = ctx.body_store.bodies.get(entry.digest) if entry else None
    return Error(errors.NoSuch(f"no version {number} of {path} is kept")) if body is None else Ok(body)
