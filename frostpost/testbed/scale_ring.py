"""One real storage daemon of a scale run; each line on its input is answered with what it has cost so far."""

import signal
import sys

from msgspec import json
from twisted.internet import reactor
from twisted.internet.stdio import StandardIO
from twisted.protocols.basic import LineReceiver

from frostpost.cluster import agent_sessions, replica_daemon
from frostpost.cluster.settings import DaemonSettings
from frostpost.daemon import structured_log
from frostpost.daemon.machine import Machine
from frostpost.ledger.apply import encode

from .scale_counts import count_kinds, count_links, cpu_s, memory_mb


def ledger(replica, whole):
    """Return the sizes of the ledger's parts."""
    ledger = replica.ctx.core.ledger
    program_ledger = ledger.program_ledger
    sizes = {
        name: len(getattr(program_ledger, name))
        for name in ("turns", "attempts", "accounts", "keys", "runners", "tombs", "expiries")
    }
    return sizes | ({"bytes": len(encode(ledger))} if whole else {})


def sight(replica, whole):
    """Return what the daemon has cost so far."""
    ctx = replica.ctx
    if replica.waiting:
        return {"waiting": True}
    return {
        "name": replica.settings.name,
        "cpu_s": cpu_s(),
        "memory_mb": round(memory_mb(), 1),
        "at_s": reactor.seconds(),
        "sequencing": agent_sessions.is_sequencer(ctx),
        "lag_ms": round(ctx.lag_ms, 1),
        "counts": dict(ctx.counts),
        "ordered": dict(ctx.core.synchrony.counts),
        "syncs": ctx.disk.syncs,
        "silo_syncs": replica.turn_store.syncs,
        "epoch": ctx.core.synchrony.configuration.id.epoch,
        "sessions": len(replica.sessions.agents),
        "ledger": ledger(replica, whole),
    }


class Asked(LineReceiver):
    """Answers each line on standard input."""

    delimiter = b"\n"

    def __init__(self, replica):
        self.replica = replica

    def lineReceived(self, line):
        """Answer with the costs so far."""
        self.sendLine(json.encode(sight(self.replica, line == b"whole")))

    def connectionLost(self, reason=None):
        """Stop the daemon."""
        if reactor.running:
            reactor.stop()


def main():
    """Run the storage daemon; returns its exit status."""
    structured_log.start_logging()
    count_links()
    with open(sys.argv[1], "rb") as file:
        settings = json.decode(file.read(), type=DaemonSettings)
    status = []

    def stop(code):
        status.append(code)
        if reactor.running:
            reactor.stop()

    replica = replica_daemon.assemble(settings, reactor, Machine(), stop)
    replica.send = count_kinds(replica.ctx)
    reactor.callWhenRunning(replica_daemon.start, replica)
    reactor.callWhenRunning(StandardIO, Asked(replica))
    signal.alarm(600)
    reactor.run()
    return max(status, default=0)


if __name__ == "__main__":
    raise SystemExit(main())
