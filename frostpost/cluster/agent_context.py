"""The context object of an agent: an edge or core daemon, which holds a lease and keeps no log."""

from frostpost.daemon.context import TestHooks
from frostpost.daemon.machine import MACHINE

from .list_reading import RunnerListState


class AgentContext:
    """All of an agent's mutable state: settings, links, session, routing, runners, caches, counters.

    Made by `agent.make_agent`; owned by the event loop's thread. Concerns keep their own part under a field of their
    name: `session` is lease_client's, `lease_waiters` that module's, `operations` operation_client's, `putting`
    turn_store's, `pools`, `loads` and `slot_overheads` proxy's.
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
        "putting",
        "counts",
        "leaving",
        "flights",
        "calls",
        "hooks",
        "operations",
        "tasks",
        "bootstrap_voters",
        "life",
        "front",
        "lag_ms",
        "parts",
        "extras",
        "ticker",
        "sent_directories",
        "lease_waiters",
        "slot_overheads",
        "runner_list",
    )

    def __init__(self, settings, reactor, endpoint, machine=MACHINE):
        self.settings, self.reactor, self.endpoint, self.machine = settings, reactor, endpoint, machine
        self.links, self.directory, self.session, self.bootstrap_voters = {}, None, None, ()
        self.routing, self.routing_body, self.runners, self.wire = None, b"", {}, None
        self.pools, self.loads, self.cache, self.putting, self.counts = {}, {}, None, {}, {}
        self.leaving, self.flights, self.calls, self.tasks = False, 0, 0, []
        self.hooks, self.operations, self.ticker, self.sent_directories = TestHooks(), None, None, {}
        self.lease_waiters, self.slot_overheads, self.runner_list = [], {}, RunnerListState()
        self.life, self.front, self.lag_ms, self.parts, self.extras = None, None, 0.0, {}, {}


def now_ms(agent):
    """Steady clock, whole milliseconds."""
    return int(agent.machine.seconds() * 1000)


def count(agent, what, by=1):
    """Add to a named counter."""
    agent.counts[what] = agent.counts.get(what, 0) + by
