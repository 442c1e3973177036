"""Assemble a daemon: state read from disk, links to peers, HTTP site and periodic jobs."""

from msgspec import DecodeError, json
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.task import LoopingCall

from frostpost.background import config_bodies
from frostpost.background.calendars import calendars
from frostpost.background.ledger_clock import tick_ledger
from frostpost.background.load_poller import poll_all_runners
from frostpost.background.runner_list_poller import poll_runner_list
from frostpost.daemon import disk as disks
from frostpost.daemon import stored_log
from frostpost.daemon.context import Context, TestHooks, clock_ms
from frostpost.daemon.core import create_core
from frostpost.daemon.event_loop import TICK_MS, tick_periodically
from frostpost.daemon.frames import listen, make_links
from frostpost.daemon.structured_log import log_event
from frostpost.http_api.app import build_site
from frostpost.http_api.http_client import http_agent
from frostpost.http_api.lookups import wake_key_waiters
from frostpost.tenant_config.body_store import BodyStore
from frostpost.virtual_synchrony.durable_log import DurableLog
from frostpost.virtual_synchrony.endpoints import PROTOCOL_REVISION, Endpoint, Member


def read_hooks(ctx):
    """Read the file of test hooks if the settings name one; reset the hooks if it can't be read."""
    if not ctx.settings.hooks:
        return
    try:
        with open(ctx.settings.hooks, "rb") as file:
            ctx.hooks = json.decode(file.read(), type=TestHooks)
    except (OSError, DecodeError):
        ctx.hooks = TestHooks()


def start_periodic_jobs(ctx):
    """Start the periodic jobs; an exception in one of them ends the daemon."""
    background = ctx.settings.background
    jobs = (
        (tick_periodically, TICK_MS / 1000),
        (lambda c: c.disk.check_health(), 0.1),
        (read_hooks, 0.1),
        (poll_all_runners, background.load_ms / 1000),
        (poll_runner_list, background.list_ms / 4000),
        (tick_ledger, background.tick_ms / 1000),
        (calendars, background.calendar_ms / 1000),
        (config_bodies.activate_configuration, 0.1),
        (config_bodies.prune_bodies, 30.0),
    )
    for job, interval_s in jobs:
        loop = LoopingCall(job, ctx)
        loop.clock = ctx.reactor

        def on_error(failure, job=job):
            log_event(
                "Internal",
                job=getattr(job, "__name__", "job"),
                type=failure.type.__name__,
                text=failure.getTraceback()[-2000:],
            )
            ctx.lifecycle.crash()

        loop.start(interval_s, now=True).addErrback(on_error)
        ctx.tasks.append(loop)


def assemble(settings, reactor, machine):
    """Return the (context, HTTP site) of a daemon that does not listen yet."""
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
    log, ctx.disk = DurableLog(), disks.NullLogWriter()
    if settings.role == "storage":
        write_ahead_log, log, error = stored_log.open_log(settings.data, machine.files)
        ctx.disk = disks.LogWriter(ctx, write_ahead_log)
        error = config_bodies.load(ctx, settings.data) or error
        if error:
            ctx.disk_damage = f"{type(error).__name__} at {error.offset} in {error.path}"
            log_event(type(error).__name__, path=error.path, offset=error.offset)

    def on_applied():
        wake_key_waiters(ctx)
        if ctx.effective_config_index < ctx.core.ledger.config_index:
            reactor.callLater(0, config_bodies.activate_configuration, ctx)

    ctx.links = {
        "send": make_links(ctx),
        "applied": on_applied,
        "news": lambda sender_name, message: config_bodies.on_message(ctx, sender_name, message),
        "heard": lambda sender_name, vector: config_bodies.on_version_vector(ctx, sender_name, vector),
    }
    ctx.http_agent = http_agent(ctx)[1]
    seeds = [f"@{address}" for address in settings.seeds]
    ctx.core, out = create_core(endpoint, settings.bounds, seeds, settings.voters, log, clock_ms(ctx))
    ctx.core.synchrony.status = config_bodies.status_vector(ctx)
    ctx.disk.write(out.writes)
    return ctx, build_site(ctx)


def start_daemon(ctx, site, process, on_failure):
    """Listen for peers, then for HTTP, then start the periodic jobs; `on_failure` gets a failure to listen."""

    def on_listening(port):
        process.close = port.stopListening
        start_periodic_jobs(ctx)
        ctx.lifecycle.started()

    def listen_http(_):
        return TCP4ServerEndpoint(ctx.reactor, ctx.settings.http_port, interface=ctx.settings.host, backlog=512).listen(
            site
        )

    return listen(ctx).addCallback(listen_http).addCallbacks(on_listening, on_failure)
