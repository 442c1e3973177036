"""Run a daemon with the native HTTP API from a settings file."""

import sys
from os import EX_CONFIG

import cappa

from frostpost.daemon import settings as daemon_settings
from frostpost.daemon.lifecycle import DaemonProcess, make_lifecycle
from frostpost.daemon.machine import Machine
from frostpost.daemon.structured_log import log_event, start_logging

from .arguments import Serve
from .assembly import assemble, start_daemon

OVERRIDABLE_SETTINGS = ("name", "role", "zone", "host", "port", "http_port", "data")


def run(settings):
    """Run a daemon until it stops; return its exit status."""
    import signal

    from twisted.internet import reactor

    reactor.seconds = Machine().seconds
    ctx, site = assemble(settings, reactor, Machine())
    process = DaemonProcess(ctx, lambda: reactor.running and reactor.stop())
    ctx.lifecycle = make_lifecycle(process)

    def on_failure(failure):
        log_event("ListenError", text=failure.getErrorMessage())
        process.status = 69
        process.stop()

    reactor.callWhenRunning(start_daemon, ctx, site, process, on_failure)
    reactor.addSystemEventTrigger(
        "after",
        "startup",
        lambda: signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(ctx.lifecycle.shut_down)),
    )
    reactor.run(installSignalHandlers=True)
    return process.status


def serve(command):
    """Run the daemon that the settings file describes; return its exit status."""
    overrides = {name: getattr(command, name) for name in OVERRIDABLE_SETTINGS}
    overrides["seeds"] = command.seeds or None
    result = daemon_settings.read_settings(command.settings, overrides)
    if result.is_error():
        error = result.error
        print(f"{type(error).__name__}: {error.path}: {error.text}", file=sys.stderr)
        return EX_CONFIG
    if command.check:
        print("settings are valid")
        return 0
    start_logging()
    return run(result.ok)


if __name__ == "__main__":
    sys.exit(serve(cappa.parse(Serve)))
