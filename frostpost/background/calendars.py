"""Calendars of tenants: parameters that change at times given by cron expressions."""

from datetime import UTC, datetime

from croniter import croniter
from msgspec import json
from twisted.internet.defer import inlineCallbacks

from frostpost.daemon.context import clock_ms
from frostpost.daemon.core import holds_lease
from frostpost.daemon.event_loop import submit
from frostpost.daemon.structured_log import log_event
from frostpost.ledger import singleton_roles
from frostpost.ledger.operations import Fire, SetConfig
from frostpost.ledger.results import ConfigSet

from . import config_bodies


def last_due_s(cron, before_s):
    """Return the last time before `before_s` that a cron expression matches; both in seconds, UTC."""
    moment = datetime.fromtimestamp(before_s, UTC)
    return int(croniter(cron, moment).get_prev(float))


def apply_due_calendars(tenant, since_s, now_s):
    """Apply the calendars due after `since_s` and up to `now_s` to a tenant's parameters, in the order of their times.

    Returns (time of the last of them, changed tenant document), or (0, None) if none is due. A calendar that was due
    several times is applied once, at the last of these.
    """
    last_times = sorted((last_due_s(c["cron"], now_s + 1), n) for n, c in enumerate(tenant.get("calendars", ())))
    due = [(at_s, n) for at_s, n in last_times if since_s < at_s <= now_s]
    if not due:
        return 0, None
    parameters = dict(tenant.get("parameters", {}))
    for _, position in due:
        parameters.update(tenant["calendars"][position]["set"])
    return due[-1][0], {**tenant, "parameters": parameters}


@inlineCallbacks
def fire_tenant(ctx, fencing_token, path, now_s):
    """Submit the due calendar changes of a tenant.

    The first call for a tenant only records the time from which its calendars are due.
    """
    version, tenant = ctx.documents[path][0], json.decode(config_bodies.current_body(ctx, path))
    ask_ms = ctx.settings.doors.ask_ms
    since_s = ctx.core.ledger.fired.get(path)
    if since_s is None:
        yield submit(ctx, Fire(fencing_token, path, now_s, None), ask_ms)
        return
    at_s, document = apply_due_calendars(tenant, since_s, now_s)
    if document is None:
        return
    if document == tenant:
        yield submit(ctx, Fire(fencing_token, path, at_s, None), ask_ms)
        return
    base = f"templates/{tenant['template']}"
    item = yield config_bodies.put(ctx, json.encode(document))
    change = SetConfig(
        path, item.digest, item.size, version, item.source, item.number, ((base, ctx.documents[base][0]),)
    )
    if (yield config_bodies.wait_for_majority(ctx, item)):
        result = yield submit(ctx, Fire(fencing_token, path, at_s, change), ask_ms)
        if result.is_ok() and isinstance(result.ok, ConfigSet):
            log_event("CalendarFired", path=path, version=result.ok.version, at_s=at_s)


@inlineCallbacks
def calendars(ctx):
    """Fire the due calendars of all tenants if this daemon holds the role "calendars" and its configuration is current.

    An error that ends this job is logged under the name of this function.
    """
    fencing_token = singleton_roles.fencing_token(ctx.core.ledger, "calendars", ctx.endpoint.member)
    if (
        not fencing_token
        or not holds_lease(ctx.core, clock_ms(ctx))
        or ctx.effective_config_index < ctx.core.ledger.config_index
    ):
        return
    for path in [p for p, (_, tenant) in ctx.documents.items() if tenant.get("calendars")]:
        if path in ctx.documents:
            yield fire_tenant(ctx, fencing_token, path, int(ctx.machine.wall_s()))
