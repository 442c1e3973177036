"""One real storage daemon of a scale run; each line on its input is answered with what it has cost so far."""

import signal
import sys

from msgspec import json
from twisted.internet import reactor
from twisted.internet.stdio import StandardIO
from twisted.protocols.basic import LineReceiver

from frostpost.cluster import ring, serving
from frostpost.cluster.settings import DaemonSettings
from frostpost.ledger.apply import encode
from frostpost.daemon import news
from frostpost.daemon.machine import Machine

from .scale_counts import count_kinds, count_links, cpu_s, memory_mb


def ledger(house, whole):
    granary = house.ctx.core.granary
    coppice = granary.coppice
    sizes = {
        name: len(getattr(coppice, name))
        for name in ("turns", "attempts", "accounts", "keys", "runners", "tombs", "expiries")
    }
    return sizes | ({"bytes": len(encode(granary))} if whole else {})


def sight(house, whole):
    ctx = house.ctx
    if house.waiting:
        return {"waiting": True}
    return {
        "name": house.settings.name,
        "cpu_s": cpu_s(),
        "memory_mb": round(memory_mb(), 1),
        "at_s": reactor.seconds(),
        "sequencing": serving.sequencing(ctx),
        "lag_ms": round(ctx.lagMs, 1),
        "counts": dict(ctx.counts),
        "ordered": dict(ctx.core.hedge.counts),
        "syncs": ctx.disk.syncs,
        "silo_syncs": house.silo.syncs,
        "epoch": ctx.core.hedge.configuration.id.epoch,
        "sessions": len(house.sessions.leaves),
        "ledger": ledger(house, whole),
    }


class Asked(LineReceiver):
    delimiter = b"\n"

    def __init__(self, house):
        self.house = house

    def lineReceived(self, line):
        self.sendLine(json.encode(sight(self.house, line == b"whole")))

    def connectionLost(self, reason=None):
        if reactor.running:
            reactor.stop()


def main():
    news.begin()
    count_links()
    with open(sys.argv[1], "rb") as file:
        settings = json.decode(file.read(), type=DaemonSettings)
    status = []

    def stop(code):
        status.append(code)
        if reactor.running:
            reactor.stop()

    house = ring.assemble(settings, reactor, Machine(), stop)
    house.send = count_kinds(house.ctx)
    reactor.callWhenRunning(ring.start, house)
    reactor.callWhenRunning(StandardIO, Asked(house))
    signal.alarm(600)
    reactor.run()
    return max(status, default=0)


if __name__ == "__main__":
    raise SystemExit(main())
