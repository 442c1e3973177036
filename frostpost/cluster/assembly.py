"""Run one daemon, an agent or a storage daemon, from its settings to its exit status."""

import signal
from errno import errorcode
from functools import partial
from os import EX_IOERR

from frostpost.daemon.machine import Machine
from frostpost.daemon.structured_log import log_event

STORAGE_ROLE = "storage"


def reload_settings(agent, front):
    """Reload the settings on SIGHUP; invalid ones are logged and the old ones stay."""
    reread = front.reread()
    if reread.is_ok():
        agent.settings = reread.ok
        if reread.ok.role == STORAGE_ROLE:
            agent.sessions.settings = reread.ok
            update_seeds(agent)
        log_event("settings", seeds=list(reread.ok.seeds))
    else:
        log_event(type(reread.error).__name__, path=reread.error.path)


def update_seeds(replica):
    """Add the seeds of the reloaded settings to a running storage daemon."""
    if not replica.awaiting_bootstrap:
        synchrony = replica.ctx.core.synchrony
        synchrony.seeds = tuple(dict.fromkeys((*(f"@{s}" for s in replica.settings.seeds), *synchrony.seeds)))


def build_daemon(settings, front, reactor, machine, stop):
    """Assemble the daemon. Returns its context and the callables that start and drain it."""
    if settings.role == STORAGE_ROLE:
        from . import replica_daemon, replica_drain

        context = replica_daemon.assemble(settings, reactor, machine, stop)
        context.sessions.capacity.routing_from_body = front.routing_from_body
        return context, partial(replica_daemon.start, context), partial(replica_drain.drain, context)
    from .agent import drain_agent, make_agent, start_agent

    context = make_agent(settings, front, reactor, machine)
    return context, partial(start_agent, context, front, stop), partial(drain_agent, context, stop)


def run_daemon(settings, front, on_started=lambda: None):
    """Run one daemon until it stops. Calls on_started() once it runs. Returns its exit status."""
    from twisted.internet import reactor

    machine, exit_codes = Machine(), []
    reactor.seconds = machine.seconds

    def stop(exit_code):
        exit_codes.append(exit_code)
        if reactor.running:
            reactor.stop()

    try:
        context, start, drain = build_daemon(settings, front, reactor, machine, stop)
    except OSError as error:
        log_event(
            "DiskError", type=type(error).__name__, error=errorcode.get(error.errno, ""), path=error.filename or ""
        )
        return EX_IOERR
    reactor.callWhenRunning(start)

    def install_signal_handlers():
        signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(drain))
        signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reload_settings, context, front))

    reactor.callWhenRunning(on_started)
    reactor.addSystemEventTrigger("after", "startup", install_signal_handlers)
    reactor.run(installSignalHandlers=True)
    return max(exit_codes, default=0)
