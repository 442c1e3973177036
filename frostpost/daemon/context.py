"""What the parts of a running daemon share."""

from collections import deque

from msgspec import Struct

from .machine import MACHINE


class TestHooks(Struct):
    """What a test asks of a running daemon: peers whose links are cut, and milliseconds that each sync is delayed."""

    cut: list[str] = []
    sync_delay_ms: int = 0


class Context:
    """All of a daemon's mutable state outside the pure core."""

    __slots__ = (
        "settings",
        "reactor",
        "endpoint",
        "machine",
        "core",
        "inputs",
        "stepping",
        "slicing",
        "waiters",
        "asking",
        "links",
        "disk",
        "shelf",
        "routes",
        "honoured",
        "runner_health",
        "flights",
        "leaving",
        "key_waiters",
        "counts",
        "bodies",
        "tasks",
        "hooks",
        "http_agent",
        "retries",
        "life",
        "list_ms",
        "tick_ms",
        "documents",
        "started_ms",
        "corrupt",
        "pruned_ms",
        "need_config",
        "stamping",
        "listed_ms",
        "lag_ms",
        "ticked_ms",
        "calls",
        "channels",
        "ticker",
    )

    def __init__(self, settings, reactor, endpoint, machine=MACHINE):
        self.settings, self.reactor, self.endpoint, self.machine = settings, reactor, endpoint, machine
        self.core, self.shelf, self.disk, self.bodies, self.http_agent, self.life = (None,) * 6
        self.inputs, self.asking, self.tasks = deque(), deque(), []
        self.stepping = self.slicing = self.leaving = self.stamping = False
        self.waiters, self.links, self.routes, self.runner_health = {}, {}, {}, {}
        self.key_waiters, self.counts, self.documents = {}, {}, {}
        self.hooks = TestHooks()
        self.honoured = self.need_config = self.flights = self.calls = 0
        self.channels, self.ticker = {}, None
        self.list_ms = self.tick_ms = self.pruned_ms = self.listed_ms = 0
        self.retries, self.lag_ms, self.corrupt = 10.0, 0.0, None
        self.started_ms = self.ticked_ms = clock_ms(self)


def clock_ms(ctx):
    """Return the daemon's monotonic clock in whole milliseconds."""
    return int(ctx.machine.seconds() * 1000)


def count(ctx, what, by=1):
    """Add to a named counter."""
    ctx.counts[what] = ctx.counts.get(what, 0) + by
