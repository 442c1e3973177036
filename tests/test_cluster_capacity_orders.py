"""Orders of runners at the leader: from the agents' reports to operations, over changes of leader and configuration."""

from types import SimpleNamespace

import pytest
from test_cluster_admission_queue import begin_attempt

from frostpost.cluster import capacity_orders as orders
from frostpost.cluster.admission_queue import AdmissionQueue, QueuedAttempt
from frostpost.cluster.agent_sessions import AgentSession
from frostpost.cluster.demand_history import SUBMIT_RETRY_MS, CapacityState
from frostpost.program_ledger import task_leases
from frostpost.program_ledger.state import ProgramLedger
from frostpost.program_ledger.task_messages import SetCapacity
from frostpost.proxy.models import Routing, ScalingBounds, Service
from frostpost.virtual_synchrony.task_messages import ServiceDemand, ZoneCapacity

SCALED = Service("s", 8, slots=8, scaling=ScalingBounds(1, 9, 4000))
EDGES = 20


class Leader:
    """A leader whose agents report once a second; `take` applies its orders to its ledger."""

    def __init__(self):
        self.now_ms, self.ledger, self.services = 100000, ProgramLedger(routing_version=1), {"s": SCALED}
        self.ctx = SimpleNamespace(
            core=SimpleNamespace(
                synchrony=SimpleNamespace(installed_ms=1), ledger=SimpleNamespace(program_ledger=self.ledger)
            )
        )
        state = CapacityState(routing_from_body=lambda body: Routing(1, (), self.services))
        self.sessions = SimpleNamespace(
            capacity=state,
            settings=SimpleNamespace(platform_tasks=("usage", "scaling")),
            usage=SimpleNamespace(demand={}),
            admission=AdmissionQueue(),
            agents={},
        )
        self.zones = {"a": 4, "b": 4}
        self.busy_ms = dict.fromkeys(range(EDGES), 0)
        for number in range(EDGES):
            self.renew(number)

    def renew(self, number):
        self.sessions.agents[f"e{number}"] = AgentSession(
            "@h:1", 1, 1, self.now_ms + 1200, role="edge", zone="ab"[number % 2]
        )

    def second(self, slots, silent=(), list_age_ms=0):
        """Let a second pass with this demand, all agents but the silent ones reporting. Returns the orders."""
        self.now_ms += 1000
        for number in range(EDGES):
            self.busy_ms[number] += slots * 1000 // EDGES
            if number in silent:
                continue
            self.renew(number)
            listed = tuple(ZoneCapacity(zone, count, 8 * count) for zone, count in self.zones.items())
            demand = ServiceDemand("s", self.busy_ms[number], self.now_ms, listed, list_age_ms)
            self.sessions.usage.demand[f"e{number}"] = SimpleNamespace(received_ms=self.now_ms, services=(demand,))
        return self.orders()

    def orders(self):
        return orders.capacity_orders(self.ctx, self.sessions, self.now_ms)

    def seconds(self, count, slots, **changes):
        return [op for _ in range(count) for op in self.second(slots, **changes)]

    def take(self, operations, is_reported=True):
        for op in operations:
            task_leases.set_capacity(self.ledger, 0, op)
        for capacity in self.ledger.tasks.capacities.values():
            capacity.reported = is_reported
            if is_reported:
                self.zones[capacity.zone] = capacity.desired


@pytest.fixture
def leader():
    return Leader()


def test_steady_demand_orders_nothing(leader):
    assert leader.seconds(30, 36) == []


def test_growth_is_ordered_once_and_again_only_without_effect(leader):
    leader.seconds(5, 36)
    assert leader.seconds(3, 60) == [SetCapacity("s", "a", 6), SetCapacity("s", "b", 7)]
    assert leader.orders() == ()
    leader.now_ms += SUBMIT_RETRY_MS
    assert leader.orders() == (SetCapacity("s", "a", 6), SetCapacity("s", "b", 7))


def test_growth_is_not_ordered_again_while_the_list_lags(leader):
    leader.seconds(5, 36)
    leader.take(leader.seconds(3, 60), is_reported=False)
    assert leader.seconds(20, 60) == []


def test_calm_is_answered_step_by_step_down_to_the_minimum(leader):
    steps = []
    for _ in range(60):
        operations = leader.second(2)
        steps += [operations] if operations else []
        leader.take(operations)
    assert leader.zones == {"a": 1, "b": 1}
    assert len(steps) == 3
    assert steps[0] == (SetCapacity("s", "a", 3), SetCapacity("s", "b", 3))


def test_nothing_is_removed_before_the_first_request(leader):
    assert leader.seconds(60, 0) == []


def test_nothing_is_removed_while_agents_are_cut_off(leader):
    leader.seconds(5, 36)
    assert leader.seconds(40, 4, silent=(0, 1)) == []
    assert leader.seconds(20, 4) != []


def test_one_silent_agent_of_many_keeps_nothing(leader):
    leader.seconds(5, 36)
    assert leader.seconds(20, 4, silent=(0,)) != []


def test_nothing_is_removed_by_an_old_list_or_before_the_platform_has_the_last_order(leader):
    leader.seconds(5, 36)
    assert leader.seconds(20, 4, list_age_ms=60000) == []
    leader.take([SetCapacity("s", "a", 4)], is_reported=False)
    assert leader.seconds(20, 4) == []


def test_new_leader_knows_no_demand(leader):
    leader.seconds(20, 60)
    leader.ctx.core.synchrony.installed_ms = 2
    assert leader.seconds(2, 60) == []
    assert leader.seconds(3, 60) != []


def test_waiting_attempts_at_the_leader_are_demand(leader):
    leader.seconds(5, 36)
    for number in range(40):
        op = begin_attempt(f"t{number}", pool="s")
        leader.sessions.admission.queued[op.attempt] = QueuedAttempt(op, 0, None, None)
    assert leader.seconds(3, 36) != []


def test_new_bounds_move_what_was_ordered_and_a_removed_service_is_withdrawn(leader):
    leader.take([SetCapacity("s", "a", 4), SetCapacity("s", "b", 4)])
    leader.seconds(5, 36)
    leader.ledger.routing_version = 2
    leader.services = {"s": Service("s", 8, slots=8, scaling=ScalingBounds(5, 9, 4000))}
    operations = leader.second(36)
    assert operations == (SetCapacity("s", "a", 5), SetCapacity("s", "b", 5))
    leader.take(operations)
    leader.ledger.routing_version = 3
    leader.services = {"s": Service("s", 8, slots=8)}
    operations = leader.second(36)
    assert operations == (SetCapacity("s", "a", -1), SetCapacity("s", "b", -1))
    leader.take(operations)
    assert leader.ledger.tasks.capacities == {}


def test_nothing_is_ordered_where_the_platform_takes_no_orders(leader):
    leader.sessions.settings.platform_tasks = ("usage",)
    leader.seconds(5, 36)
    assert leader.seconds(20, 500) == []
