"""Run one daemon: an agent or a storage daemon, from its settings to its exit status."""

import signal
from errno import errorcode
from functools import partial
from os import EX_IOERR

from frostpost.daemon.machine import Machine
from frostpost.daemon.structured_log import log_event

RING = "storage"


def reload_settings(agent, front):
    """SIGHUP: read the settings again; invalid ones are logged and the old ones stay."""
    result = front.reread()
    if result.is_ok():
        agent.settings = result.ok
        if result.ok.role == RING:
            update_seeds(agent)
        log_event("settings", seeds=list(result.ok.seeds))
    else:
        log_event(type(result.error).__name__, path=result.error.path)


def update_seeds(replica):
    """A storage daemon reports to the seeds that its settings name now."""
    if not replica.waiting:
        synchrony = replica.ctx.core.synchrony
        synchrony.seeds = tuple(dict.fromkeys((*(f"@{s}" for s in replica.settings.seeds), *synchrony.seeds)))


def build_daemon(settings, front, reactor, machine, stop):
    """Assemble the daemon; -> its owner, what starts it and what makes it leave."""
    if settings.role == RING:
        from . import replica_daemon

        owner = replica_daemon.assemble(settings, reactor, machine, stop)
        return owner, partial(replica_daemon.start, owner), partial(replica_daemon.drain, owner)
    from .agent import drain_agent, make_agent, start_agent

    owner = make_agent(settings, front, reactor, machine)
    return owner, partial(start_agent, owner, front, stop), partial(drain_agent, owner, stop)


def run_daemon(settings, front, started=lambda: None):
    """Run one daemon until it is told to stop; started() is called once it runs. -> its exit status."""
    from twisted.internet import reactor

    machine, status = Machine(), []
    reactor.seconds = machine.seconds

    def stop(code):
        status.append(code)
        if reactor.running:
            reactor.stop()

    try:
        owner, start, leave = build_daemon(settings, front, reactor, machine, stop)
    except OSError as error:
        log_event(
            "DiskError", type=type(error).__name__, error=errorcode.get(error.errno, ""), path=error.filename or ""
        )
        return EX_IOERR
    reactor.callWhenRunning(start)

    def signals():
        signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(leave))
        signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reload_settings, owner, front))

    reactor.callWhenRunning(started)
    reactor.addSystemEventTrigger("after", "startup", signals)
    reactor.run(installSignalHandlers=True)
    return max(status, default=0)
