from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from frostpost.daemon.context import nowMs
from frostpost.daemon.core import leaseOk


class Meters:
    __slots__ = ("ctx",)

    def __init__(self, ctx):
        self.ctx = ctx

    def collect(self):
        ctx, hedge = self.ctx, self.ctx.core.hedge
        gauges = {
            "serving": int(leaseOk(ctx.core, nowMs(ctx))),
            "flights": ctx.flights,
            "lag_ms": ctx.lagMs,
            "applied_index": hedge.applied,
            "members": len(hedge.configuration.members),
            "programs": len(ctx.core.granary.programs),
            "keys": len(ctx.core.granary.keys),
            "waiting": len(hedge.waiting),
            "outbox": len(hedge.outbox),
            "disk_unwell": int(ctx.disk.unwell),
        }
        for name, value in gauges.items():
            yield GaugeMetricFamily(f"frostpost_{name}", name.replace("_", " "), value)
        events = CounterMetricFamily("frostpost_events", "counted events by kind", labels=["kind"])
        for kind, value in sorted({**hedge.counts, **ctx.counts}.items()):
            events.add_metric([kind], value)
        events.add_metric(["syncs"], ctx.disk.syncs)
        yield events


def gather(ctx):
    registry = CollectorRegistry(auto_describe=False)
    registry.register(Meters(ctx))
    return registry
