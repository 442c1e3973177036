"""Run one daemon of the own HTTP interface from a settings file."""

import sys
from os import EX_CONFIG

import cappa

from frostpost.daemon import settings as checked
from frostpost.daemon.lifecycle import DaemonProcess, make_lifecycle
from frostpost.daemon.machine import Machine
from frostpost.daemon.structured_log import log_event
from frostpost.daemon.structured_log import start_logging as begin_news

from .arguments import Serve
from .assembly import assemble, raise_

OVERRIDES = ("name", "role", "zone", "host", "port", "http_port", "data")


def run(settings):
    """Run a daemon until it stops; returns its exit status."""
    import signal

    from twisted.internet import reactor

    reactor.seconds = Machine().seconds
    ctx, site = assemble(settings, reactor, Machine())
    hand = DaemonProcess(ctx, lambda: reactor.running and reactor.stop())
    ctx.lifecycle = make_lifecycle(hand)

    def fallen(failure):
        log_event("ListenError", text=failure.getErrorMessage())
        hand.status = 69
        hand.stop()

    reactor.callWhenRunning(raise_, ctx, site, hand, fallen)
    reactor.addSystemEventTrigger(
        "after",
        "startup",
        lambda: signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(ctx.lifecycle.shut_down)),
    )
    reactor.run(installSignalHandlers=True)
    return hand.status


def serve(command):
    """Run the daemon that the settings file describes; returns its exit status."""
    flags = {name: getattr(command, name) for name in OVERRIDES}
    flags["seeds"] = command.seeds or None
    result = checked.read_settings(command.settings, flags)
    if result.is_error():
        error = result.error
        print(f"{type(error).__name__}: {error.path}: {error.text}", file=sys.stderr)
        return EX_CONFIG
    if command.check:
        print("settings are in order")
        return 0
    begin_news()
    return run(result.ok)


if __name__ == "__main__":
    sys.exit(serve(cappa.parse(Serve)))
