"""Run one daemon of the own HTTP interface from a settings file."""

import sys
from typing import Annotated

import cappa
from msgspec import Struct

from . import settings as checked
from .assembly import assemble, raise_
from .life import Hand, make
from .machine import Machine
from .news import begin as begin_news
from .news import say


def run(settings):
    """Run a daemon until it stops; returns its exit status."""
    import signal

    from twisted.internet import reactor

    reactor.seconds = Machine().seconds
    ctx, site = assemble(settings, reactor, Machine())
    hand = Hand(ctx, lambda: reactor.running and reactor.stop())
    ctx.life = make(hand)

    def fallen(failure):
        say("ListenError", text=failure.getErrorMessage())
        hand.status = 69
        hand.stop()

    reactor.callWhenRunning(raise_, ctx, site, hand, fallen)
    reactor.addSystemEventTrigger(
        "after", "startup", lambda: signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(ctx.life.leave))
    )
    reactor.run(installSignalHandlers=True)
    return hand.status


@cappa.command(name="daemon", help="Run one frostpost daemon from a settings file.")
class Orchard(Struct):
    """Arguments of serve; each but the first overrides a setting."""

    settings: Annotated[str, cappa.Arg(help="path of the settings file (TOML)")]
    name: Annotated[str | None, cappa.Arg(long=True, help="the daemon's name")] = None
    role: Annotated[str | None, cappa.Arg(long=True, help="edge, core or storage")] = None
    zone: Annotated[str | None, cappa.Arg(long=True, help="the zone this machine stands in")] = None
    host: Annotated[str | None, cappa.Arg(long=True, help="IP number to listen on")] = None
    port: Annotated[int | None, cappa.Arg(long=True, help="port for other daemons")] = None
    http_port: Annotated[int | None, cappa.Arg(long="--http-port", help="port for callers and operators")] = None
    data: Annotated[str | None, cappa.Arg(long=True, help="data folder of a storage daemon")] = None
    seeds: Annotated[list[str], cappa.Arg(long="--seed", help="IP:port of another daemon; may be given again")] = []
    check: Annotated[bool, cappa.Arg(long=True, help="check the settings and stop")] = False


def main():
    """Run the command line; returns the exit status."""
    command = cappa.parse(Orchard)
    flags = {n: getattr(command, n) for n in ("name", "role", "zone", "host", "port", "http_port", "data")}
    flags["seeds"] = command.seeds or None
    result = checked.read(command.settings, flags)
    if result.is_error():
        error = result.error
        print(f"{type(error).__name__}: {error.path}: {error.text}", file=sys.stderr)
        return 78
    if command.check:
        print("settings are in order")
        return 0
    begin_news()
    return run(result.ok)


if __name__ == "__main__":
    sys.exit(main())
