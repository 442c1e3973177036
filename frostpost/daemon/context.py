"""State shared by the parts of a running daemon."""

from collections import deque

from msgspec import Struct

from .machine import MACHINE


class TestHooks(Struct):
    """Failures injected into a running daemon by tests.

    `cut`: names of the peers whose links are cut. `sync_delay_ms`: delay before each sync.
    """

    cut: list[str] = []
    sync_delay_ms: int = 0


class Context:
    """All mutable state of a daemon outside the pure core."""

    __slots__ = (
        "settings",
        "reactor",
        "endpoint",
        "machine",
        "core",
        "inputs",
        "stepping",
        "slice_scheduled",
        "waiters",
        "unnumbered_waiters",
        "links",
        "disk",
        "body_store",
        "routes",
        "effective_config_index",
        "runner_health",
        "requests_in_flight",
        "shutting_down",
        "key_waiters",
        "counts",
        "body_writer",
        "tasks",
        "hooks",
        "http_agent",
        "retry_tokens",
        "lifecycle",
        "next_list_fetch_ms",
        "last_ledger_tick_ms",
        "documents",
        "started_ms",
        "disk_damage",
        "last_prune_ms",
        "required_config_index",
        "instantiating",
        "list_fetched_ms",
        "lag_ms",
        "last_tick_ms",
        "open_requests",
        "connections",
        "ticker",
    )

    def __init__(self, settings, reactor, endpoint, machine=MACHINE):
        self.settings, self.reactor, self.endpoint, self.machine = settings, reactor, endpoint, machine
        self.core, self.body_store, self.disk, self.body_writer, self.http_agent, self.lifecycle = (None,) * 6
        self.inputs, self.unnumbered_waiters, self.tasks = deque(), deque(), []
        self.stepping = self.slice_scheduled = self.shutting_down = self.instantiating = False
        self.waiters, self.links, self.routes, self.runner_health = {}, {}, {}, {}
        self.key_waiters, self.counts, self.documents = {}, {}, {}
        self.hooks = TestHooks()
        self.effective_config_index = self.required_config_index = self.requests_in_flight = self.open_requests = 0
        self.connections, self.ticker = {}, None
        self.next_list_fetch_ms = self.last_ledger_tick_ms = self.last_prune_ms = self.list_fetched_ms = 0
        self.retry_tokens, self.lag_ms, self.disk_damage = 10.0, 0.0, None
        self.started_ms = self.last_tick_ms = clock_ms(self)


def clock_ms(ctx):
    """Return the time of the daemon's monotonic clock in whole milliseconds."""
    return int(ctx.machine.seconds() * 1000)


def count(ctx, counter, increment=1):
    """Increment a named counter."""
    ctx.counts[counter] = ctx.counts.get(counter, 0) + increment
