"""Read the platform's list of runners and order its changes."""

from msgspec import Struct, json
from twisted.internet.defer import inlineCallbacks

from frostpost.daemon.body_reader import read_body
from frostpost.daemon.context import clock_ms, count
from frostpost.daemon.core import holds_lease
from frostpost.daemon.event_loop import submit
from frostpost.daemon.structured_log import log_event
from frostpost.ledger import singleton_roles
from frostpost.ledger.entities import Runner
from frostpost.ledger.operations import Runners


class Row(Struct):
    """One runner in the platform's list."""

    name: str
    instance: str
    host: str
    port: int
    pool: str
    zone: str
    room: int


class Page(Struct):
    """The platform's list."""

    runners: list[Row]


@inlineCallbacks
def list_(ctx):
    """Fetch the list if this daemon holds that duty, and order it if it changed."""
    fence = singleton_roles.fencing_token(ctx.core.ledger, "list", ctx.endpoint.member)
    now = clock_ms(ctx)
    if not fence or not ctx.settings.list or now < ctx.next_list_fetch_ms or not holds_lease(ctx.core, now):
        return
    ctx.next_list_fetch_ms = now + ctx.settings.background.list_ms
    try:
        response = yield ctx.http_agent.get(ctx.settings.list, timeout=2, unbuffered=True, reactor=ctx.reactor)
        raw = yield read_body(response, ctx.settings.doors.config_bytes)
        if response.code == 429:
            said = (response.headers.getRawHeaders("retry-after") or ["1"])[0]
            wait_ms = int(said) * 1000 if said.isdigit() else 1000
            ctx.next_list_fetch_ms = clock_ms(ctx) + wait_ms
            count(ctx, "list_refused")
            return
        page = json.decode(raw, type=Page)
    except Exception as error:
        count(ctx, f"list_error/{type(error).__name__}")
        return
    ctx.list_fetched_ms = clock_ms(ctx)
    entries = tuple(
        sorted(
            (Runner(r.name, r.instance, r.host, r.port, r.pool, r.zone, r.room) for r in page.runners),
            key=lambda r: r.name,
        )
    )
    held = ctx.core.ledger.runners
    if {r.name: r for r in entries} != held:
        count(ctx, "list_changes")
        log_event("RunnerList", runners=len(entries))
        yield submit(ctx, Runners(fence, entries), ctx.settings.doors.ask_ms)
