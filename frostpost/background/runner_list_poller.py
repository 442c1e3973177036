"""Poll the platform's list of runners and submit its changes to the ledger."""

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


class ListedRunner(Struct):
    """A runner in the platform's list."""

    name: str
    instance: str
    host: str
    port: int
    pool: str
    zone: str
    room: int


class RunnerListDocument(Struct):
    """The platform's list, a JSON document."""

    runners: list[ListedRunner]


@inlineCallbacks
def poll_runner_list(ctx):
    """Fetch the list if this daemon holds the role "list" and a fetch is due; submit it if it changed.

    A response 429 delays the next fetch by its Retry-After in whole seconds, or by one second.
    """
    fencing_token = singleton_roles.fencing_token(ctx.core.ledger, "list", ctx.endpoint.member)
    now_ms = clock_ms(ctx)
    if (
        not fencing_token
        or not ctx.settings.list
        or now_ms < ctx.next_list_fetch_ms
        or not holds_lease(ctx.core, now_ms)
    ):
        return
    ctx.next_list_fetch_ms = now_ms + ctx.settings.background.list_ms
    try:
        response = yield ctx.http_agent.get(ctx.settings.list, timeout=2, unbuffered=True, reactor=ctx.reactor)
        raw = yield read_body(response, ctx.settings.doors.config_bytes)
        if response.code == 429:
            retry_after = (response.headers.getRawHeaders("retry-after") or ["1"])[0]
            delay_ms = int(retry_after) * 1000 if retry_after.isdigit() else 1000
            ctx.next_list_fetch_ms = clock_ms(ctx) + delay_ms
            count(ctx, "list_refused")
            return
        document = json.decode(raw, type=RunnerListDocument)
    except Exception as error:
        count(ctx, f"list_error/{type(error).__name__}")
        return
    ctx.list_fetched_ms = clock_ms(ctx)
    runners = tuple(
        sorted(
            (Runner(r.name, r.instance, r.host, r.port, r.pool, r.zone, r.room) for r in document.runners),
            key=lambda r: r.name,
        )
    )
    known_runners = ctx.core.ledger.runners
    if {r.name: r for r in runners} != known_runners:
        count(ctx, "list_changes")
        log_event("RunnerList", runners=len(runners))
        yield submit(ctx, Runners(fencing_token, runners), ctx.settings.doors.ask_ms)
