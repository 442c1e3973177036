"""From an agent's report over the leader's periodic work to the ledger, with the platform's reading of a document."""

import json

from expression import Ok
from msgspec import structs
from test_cluster_lease_client import endpoint_of, new_sequencer, renew, renew_sequencer_lease
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from frostpost.cluster import task_server, usage_collection
from frostpost.cluster.settings import DaemonSettings
from frostpost.ledger.operations import TASK_RULES
from frostpost.platform import routing
from frostpost.program_ledger.apply import apply_operation
from frostpost.program_ledger.task_messages import SetCapacity
from frostpost.virtual_synchrony.task_messages import ServiceDemand, UsageReport, ZoneCapacity

DOCUMENT = {
    "issue": 3,
    "route-table": [],
    "service-table": [
        {"name": "s", "engine": {"capacity": 8}, "scaling": {"min-count": 1, "max-count": 9, "boot-s": 4}},
        {"name": "t"},
    ],
}


class Leader:
    """A leader that decides its operations at once, and one edge that renews its lease and reports each second."""

    def __init__(self, monkeypatch):
        self.clock, self.decided = Clock(), []
        self.ctx, self.sessions = new_sequencer(self.clock)
        self.ledger = self.ctx.core.ledger.program_ledger
        self.ctx.core.ledger.rules = TASK_RULES
        self.ledger.routing_version = 3
        self.ledger.routing_body = routing.encode_body(routing.parse_document(json.dumps(DOCUMENT).encode()).ok[0])
        self.sessions.settings = DaemonSettings("s1", "storage", "z", "", 0, platform_tasks=("usage", "scaling"))
        self.sessions.capacity.routing_from_body = routing.routing_from_body
        for module in (task_server, usage_collection):
            monkeypatch.setattr(module, "submit", self.submit)

    def submit(self, ctx, operation, timeout_ms):
        self.decided.append(operation)
        return succeed(Ok(apply_operation(self.ledger, int(self.clock.seconds() * 1000), (), (), operation)))

    def second(self, slots, runners):
        self.clock.advance(1)
        now_ms = int(self.clock.seconds() * 1000)
        renew_sequencer_lease(self.ctx, self.clock)
        renew(self.ctx, self.sessions, 3, now_ms)
        zones = (ZoneCapacity("z", runners, 8 * runners),)
        demand = ServiceDemand("s", now_ms * slots, now_ms, zones, 0)
        edge = structs.replace(endpoint_of("e1", "edge", 2, 1), zone="z")
        task_server.on_task_message(self.ctx, self.sessions, edge, UsageReport(1, (), (demand,)))
        task_server.collect(self.ctx, self.sessions)

    @property
    def ordered(self):
        return [operation for operation in self.decided if isinstance(operation, SetCapacity)]


def test_reports_of_growing_demand_become_one_order_in_the_ledger(monkeypatch):
    leader = Leader(monkeypatch)
    for _ in range(10):
        leader.second(20, 2)
    assert leader.ordered == [SetCapacity("s", "z", 5)]
    capacity = leader.ledger.tasks.capacities["s|z"]
    assert (capacity.desired, capacity.reported) == (5, False)


def test_nothing_is_ordered_before_all_members_know_the_operations(monkeypatch):
    leader = Leader(monkeypatch)
    leader.ctx.core.ledger.rules = TASK_RULES - 1
    for _ in range(10):
        leader.second(20, 2)
    assert leader.ordered == []
