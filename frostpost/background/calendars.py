"""Tenants' calendars: parameters that change at times given by cron expressions."""

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

from . import shelves


def due_s(cron, now_s):
    """Return the last time at or before `now_s` (seconds, UTC) that a cron expression names."""
    moment = datetime.fromtimestamp(now_s, UTC)
    return int(croniter(cron, moment).get_prev(float))


def amended(tenant, since_s, now_s):
    """Return (time of the last due calendar, tenant with the changes of all due calendars)."""
    due = sorted((due_s(c["cron"], now_s + 1), n) for n, c in enumerate(tenant.get("calendars", ())))
    late = [(at_s, n) for at_s, n in due if since_s < at_s <= now_s]
    if not late:
        return 0, None
    parameters = dict(tenant.get("parameters", {}))
    for _, n in late:
        parameters.update(tenant["calendars"][n]["set"])
    return late[-1][0], {**tenant, "parameters": parameters}


@inlineCallbacks
def fire_one(ctx, fence, path, now_s):
    """Order the due calendar changes of one tenant."""
    version, tenant = ctx.documents[path][0], json.decode(shelves.body_of(ctx, path))
    ask_ms = ctx.settings.doors.ask_ms
    since_s = ctx.core.ledger.fired.get(path)
    if since_s is None:
        yield submit(ctx, Fire(fence, path, now_s, None), ask_ms)
        return
    at_s, document = amended(tenant, since_s, now_s)
    if document is None:
        return
    if document == tenant:
        yield submit(ctx, Fire(fence, path, at_s, None), ask_ms)
        return
    base = f"templates/{tenant['template']}"
    item = yield shelves.put(ctx, json.encode(document))
    change = SetConfig(
        path, item.digest, item.size, version, item.source, item.number, ((base, ctx.documents[base][0]),)
    )
    if (yield shelves.spread(ctx, item)):
        result = yield submit(ctx, Fire(fence, path, at_s, change), ask_ms)
        if result.is_ok() and isinstance(result.ok, ConfigSet):
            log_event("CalendarFired", path=path, version=result.ok.version, at_s=at_s)


@inlineCallbacks
def calendars(ctx):
    """Look through all tenants' calendars, if this daemon holds that duty."""
    fence = singleton_roles.fencing_token(ctx.core.ledger, "calendars", ctx.endpoint.member)
    if (
        not fence
        or not holds_lease(ctx.core, clock_ms(ctx))
        or ctx.effective_config_index < ctx.core.ledger.config_index
    ):
        return
    for path in [p for p, (_, d) in ctx.documents.items() if d.get("calendars")]:
        if path in ctx.documents:
            yield fire_one(ctx, fence, path, int(ctx.machine.wall_s()))
