"""The context object of an agent: an edge or core daemon, which holds a lease and keeps no log."""

from frostpost.daemon.context import TestHooks
from frostpost.daemon.machine import MACHINE

from .list_reading import RunnerListState


class AgentContext:
    """All mutable state of an agent; made by `agent.make_agent` and used only on the event loop's thread.

    Each module keeps its state in a field of its own: `session` belongs to lease_client, `operations` to
    operation_client, `usage` to usage_reports, `body_client` to turn_store, `pools`, `loads`, `slot_overheads` and
    `demand_meters` to proxy. `attachments` holds further objects by name.
    """

    __slots__ = (
        "settings",
        "reactor",
        "endpoint",
        "machine",
        "links",
        "directory",
        "session",
        "routing",
        "routing_body",
        "runners",
        "wire",
        "pools",
        "loads",
        "cache",
        "body_client",
        "counts",
        "draining",
        "requests_in_flight",
        "open_requests",
        "hooks",
        "operations",
        "tasks",
        "bootstrap_voters",
        "lifecycle",
        "front",
        "lag_ms",
        "components",
        "attachments",
        "ticker",
        "sent_directories",
        "lease_waiters",
        "slot_overheads",
        "runner_list",
        "demand_meters",
        "usage",
    )

    def __init__(self, settings, reactor, endpoint, machine=MACHINE):
        self.settings, self.reactor, self.endpoint, self.machine = settings, reactor, endpoint, machine
        self.links, self.directory, self.session, self.bootstrap_voters = {}, None, None, ()
        self.routing, self.routing_body, self.runners, self.wire = None, b"", {}, None
        self.pools, self.loads, self.cache, self.body_client, self.counts = {}, {}, None, {}, {}
        self.draining, self.requests_in_flight, self.open_requests, self.tasks = False, 0, 0, []
        self.hooks, self.operations, self.ticker, self.sent_directories = TestHooks(), None, None, {}
        self.lease_waiters, self.slot_overheads, self.runner_list = [], {}, RunnerListState()
        self.usage = None
        self.lifecycle, self.front, self.lag_ms, self.components, self.attachments = None, None, 0.0, {}, {}
        self.demand_meters = {}


def now_ms(agent):
    """Monotonic clock in whole milliseconds."""
    return int(agent.machine.seconds() * 1000)


def count(agent, counter, increment=1):
    """Add to a named counter."""
    agent.counts[counter] = agent.counts.get(counter, 0) + increment
