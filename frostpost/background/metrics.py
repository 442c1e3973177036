"""Metrics in the Prometheus text format."""

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from frostpost.daemon.context import clock_ms
from frostpost.daemon.core import holds_lease


class DaemonCollector:
    """Prometheus collector of a daemon's gauges and counters."""

    __slots__ = ("ctx",)

    def __init__(self, ctx):
        self.ctx = ctx

    def collect(self):
        """Yield the current metrics."""
        ctx, synchrony = self.ctx, self.ctx.core.synchrony
        gauges = {
            "serving": int(holds_lease(ctx.core, clock_ms(ctx))),
            "flights": ctx.requests_in_flight,
            "lag_ms": ctx.lag_ms,
            "applied_index": synchrony.applied,
            "members": len(synchrony.configuration.members),
            "programs": len(ctx.core.ledger.programs),
            "keys": len(ctx.core.ledger.keys),
            "waiting": len(synchrony.pending_entries),
            "outbox": len(synchrony.outbox),
            "disk_unwell": int(ctx.disk.unhealthy),
        }
        for name, value in gauges.items():
            yield GaugeMetricFamily(f"frostpost_{name}", name.replace("_", " "), value)
        events = CounterMetricFamily("frostpost_events", "counted events by kind", labels=["kind"])
        for kind, value in sorted({**synchrony.counts, **ctx.counts}.items()):
            events.add_metric([kind], value)
        events.add_metric(["syncs"], ctx.disk.syncs)
        yield events


def create_registry(ctx):
    """Return a registry of a daemon's metrics."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(DaemonCollector(ctx))
    return registry
