"""Put a daemon together: state from disk, links, HTTP site and periodic jobs."""

from msgspec import DecodeError, json
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.task import LoopingCall

from frostpost.background import shelves
from frostpost.background.calendars import calendars
from frostpost.background.listing import list_
from frostpost.background.runners import poll_all
from frostpost.background.ticking import tick_ledger
from frostpost.daemon import disk as disks
from frostpost.daemon.context import Context, TestHooks, clock_ms
from frostpost.daemon.core import create_core
from frostpost.daemon.event_loop import TICK_MS, tick_periodically
from frostpost.daemon.frames import listen, make_links
from frostpost.daemon.structured_log import log_event
from frostpost.http_api.app import build
from frostpost.http_api.http_client import http_agent
from frostpost.http_api.lookups import wake
from frostpost.tenant_config.body_store import BodyStore
from frostpost.virtual_synchrony.durable_log import replay
from frostpost.virtual_synchrony.endpoints import PROTOCOL_REVISION, Endpoint, Member


def read_hooks(ctx):
    """Read the test hooks that the settings name, if any."""
    if not ctx.settings.hooks:
        return
    try:
        with open(ctx.settings.hooks, "rb") as file:
            ctx.hooks = json.decode(file.read(), type=TestHooks)
    except (OSError, DecodeError):
        ctx.hooks = TestHooks()


def loops(ctx):
    """Start the periodic jobs; an exception in one ends the daemon."""
    background = ctx.settings.background
    jobs = (
        (tick_periodically, TICK_MS / 1000),
        (lambda c: c.disk.check_health(), 0.1),
        (read_hooks, 0.1),
        (poll_all, background.load_ms / 1000),
        (list_, background.list_ms / 4000),
        (tick_ledger, background.tick_ms / 1000),
        (calendars, background.calendar_ms / 1000),
        (shelves.honour, 0.1),
        (shelves.tidy, 30.0),
    )
    for job, every_s in jobs:
        loop = LoopingCall(job, ctx)
        loop.clock = ctx.reactor

        def broken(failure, job=job):
            log_event(
                "Internal",
                job=getattr(job, "__name__", "job"),
                type=failure.type.__name__,
                text=failure.getTraceback()[-2000:],
            )
            ctx.lifecycle.crash()

        loop.start(every_s, now=True).addErrback(broken)
        ctx.tasks.append(loop)


def assemble(settings, reactor, machine):
    """Return (context, site) of a daemon; nothing listens yet."""
    incarnation = 1 + int(machine.token(6), 16)
    endpoint = Endpoint(
        Member(settings.name, incarnation),
        settings.role,
        settings.zone,
        settings.host,
        settings.port,
        settings.http_port,
        PROTOCOL_REVISION,
    )
    ctx = Context(settings, reactor, endpoint, machine)
    ctx.body_store = BodyStore(f"{settings.name}.{incarnation}")
    records, ctx.disk = [], disks.NullLogWriter()
    if settings.role == "storage":
        write_ahead_log, records, error = disks.open_log(settings.data, machine.files)
        ctx.disk = disks.LogWriter(ctx, write_ahead_log)
        error = shelves.load(ctx, settings.data) or error
        if error:
            ctx.disk_damage = f"{type(error).__name__} at {error.offset} in {error.path}"
            log_event(type(error).__name__, path=error.path, offset=error.offset)

    def applied():
        wake(ctx)
        if ctx.effective_config_index < ctx.core.ledger.config_index:
            reactor.callLater(0, shelves.honour, ctx)

    ctx.links = {
        "send": make_links(ctx),
        "applied": applied,
        "news": lambda frm, body: shelves.received(ctx, frm, body),
        "heard": lambda frm, vector: shelves.heard(ctx, frm, vector),
    }
    ctx.http_agent = http_agent(ctx)[1]
    seeds = [f"@{s}" for s in settings.seeds]
    ctx.core, out = create_core(endpoint, settings.bounds, seeds, settings.voters, replay(records), clock_ms(ctx))
    ctx.core.synchrony.status = shelves.news(ctx)
    ctx.disk.write(out.writes)
    return ctx, build(ctx)


def raise_(ctx, site, hand, fallen):
    """Listen for peers, then for HTTP, then start the periodic jobs."""

    def up(port):
        hand.close = port.stopListening
        loops(ctx)
        ctx.lifecycle.started()

    def listen_http(_):
        return TCP4ServerEndpoint(ctx.reactor, ctx.settings.http_port, interface=ctx.settings.host, backlog=512).listen(
            site
        )

    return listen(ctx).addCallback(listen_http).addCallbacks(up, fallen)
