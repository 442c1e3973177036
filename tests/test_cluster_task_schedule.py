"""Offers of platform tasks: to one agent at a time, its owner first, daemons without clients before those with."""

import pytest
from test_cluster_lease_client import endpoint_of

from frostpost.cluster import task_schedule
from frostpost.cluster.settings import DaemonSettings
from frostpost.cluster.task_schedule import TaskSchedule
from frostpost.ledger.state import Ledger
from frostpost.program_ledger import apply as program_ledgers
from frostpost.program_ledger.task_messages import USAGE, ClaimTask, CloseUsageWindow, SetCapacity
from frostpost.virtual_synchrony.task_messages import TaskFailed, TaskOffer

RENEWAL_MS, LEASE_MS = 240, 4500
SETTINGS = DaemonSettings("s", "storage", "z", "h", 1, platform_tasks=("usage", "scaling"), tasks_per_s=1000.0)
OFFER = (TaskOffer(USAGE, ""),)
FAILED = TaskFailed(USAGE, "", 0, True, 1)


class Leader:
    """A leader with one due window, whose ledger's clock is exact, and agents that renew in turn."""

    def __init__(self, *agents, settings=SETTINGS):
        self.ledger, self.schedule, self.now_ms, self.settings = Ledger(), TaskSchedule(), 1, settings
        self.agents = {name: "edge" if name.startswith("e") else "core" for name in agents}
        self.apply(CloseUsageWindow(1, ()))

    def apply(self, op):
        self.ledger.clock_ms = self.now_ms
        return program_ledgers.apply_operation(self.ledger.program_ledger, self.now_ms, (), (), op)

    def claim(self, name):
        return self.apply(ClaimTask(USAGE, "", name, LEASE_MS))

    def renew(self, name):
        self.ledger.clock_ms = self.now_ms
        endpoint = endpoint_of(name, self.agents[name])
        return task_schedule.offers_for(self.schedule, self.ledger, self.settings, endpoint, self.now_ms)

    def renew_all(self, *but):
        """All agents but some renew once; returns the names of those that were offered the window."""
        self.now_ms += RENEWAL_MS
        return [name for name in self.agents if name not in but and self.renew(name) == OFFER]

    def first_offer(self, *but, wait_ms=20000):
        """When and to whom the window is offered next."""
        started_ms = self.now_ms
        while self.now_ms - started_ms < wait_ms:
            offered = self.renew_all(*but)
            if offered:
                return self.now_ms - started_ms, offered
        return None

    def fail(self, name, retry_ms=0, reachable=True, number=1):
        task_schedule.on_failure(
            self.schedule, self.ledger, name, TaskFailed(USAGE, "", retry_ms, reachable, number), self.now_ms
        )


def test_a_late_failure_of_an_earlier_task_does_not_delay_the_next_one():
    leader = Leader("c1")
    late = TaskFailed(USAGE, "", 10000, True, 0)
    task_schedule.on_failure(leader.schedule, leader.ledger, "c1", late, leader.now_ms)
    assert leader.renew_all() == ["c1"]


def test_one_agent_at_a_time_is_offered_a_task():
    leader = Leader("c1", "c2", "e1")
    assert leader.renew_all() == ["c1"]
    assert leader.renew_all() == [] and leader.renew_all() == []


def test_an_offer_that_is_not_taken_is_made_again():
    leader = Leader("c1", "c2")
    leader.renew_all()
    elapsed_ms, _ = leader.first_offer()
    assert task_schedule.OFFER_MS <= elapsed_ms <= task_schedule.OFFER_MS + RENEWAL_MS


def test_the_owner_is_offered_the_next_task_and_others_only_once_it_is_gone_and_its_lease_has_run_out():
    leader = Leader("c1", "c2")
    leader.claim("c2")
    assert leader.first_offer() == (RENEWAL_MS, ["c2"])
    elapsed_ms, offered = leader.first_offer("c2")
    assert offered == ["c1"] and LEASE_MS - 2 * RENEWAL_MS <= elapsed_ms <= LEASE_MS + RENEWAL_MS


def test_an_owner_that_renews_is_offered_the_next_task_also_after_its_lease():
    leader = Leader("c1", "c2")
    leader.claim("c2")
    leader.now_ms += 3 * LEASE_MS
    leader.renew("c2")
    assert leader.renew("c1") == ()


def test_agents_with_clients_wait_for_those_without():
    leader = Leader("e1", "e2")
    elapsed_ms, offered = leader.first_offer()
    assert offered == ["e1"] and elapsed_ms >= task_schedule.SERVING_AGENT_DELAY_MS
    leader.agents = {"c1": "core", **leader.agents}
    leader.now_ms += LEASE_MS
    assert leader.first_offer() == (RENEWAL_MS, ["c1"])


def test_a_lease_owned_by_an_agent_with_clients_returns_to_others_once_it_has_run_out():
    leader = Leader("e1", "c1")
    leader.claim("e1")
    assert leader.renew_all() == ["e1"]
    leader.now_ms += LEASE_MS
    assert leader.first_offer() == (RENEWAL_MS, ["c1"])


def test_refused_calls_stay_with_the_owner_and_wait_ever_longer():
    leader = Leader("c1", "c2")
    leader.claim("c1")
    waits_ms = []
    for _ in range(7):
        elapsed_ms, offered = leader.first_offer()
        assert offered == ["c1"]
        waits_ms.append(elapsed_ms)
        leader.claim("c1")
        leader.fail("c1")
    assert waits_ms == sorted(waits_ms) and waits_ms[-1] >= task_schedule.MAX_BACKOFF_MS


def test_the_wait_that_the_platform_asks_for_is_kept():
    leader = Leader("c1")
    leader.claim("c1")
    leader.fail("c1", retry_ms=3000)
    assert leader.first_offer()[0] >= 3000


def test_a_call_without_an_answer_hands_the_task_to_an_agent_that_has_not_failed():
    leader = Leader("c1", "c2")
    leader.claim("c1")
    leader.fail("c1", reachable=False)
    elapsed_ms, offered = leader.first_offer()
    assert offered == ["c2"] and elapsed_ms <= LEASE_MS + RENEWAL_MS


def test_when_nobody_gets_an_answer_all_are_tried_again():
    leader = Leader("c1", "c2")
    for name in ("c1", "c2"):
        leader.claim(name)
        leader.fail(name, reachable=False)
        leader.now_ms += LEASE_MS
    assert leader.first_offer() is not None


def test_the_joint_rate_of_the_platform_is_kept():
    leader = Leader(
        "c1", settings=DaemonSettings("s", "storage", "z", "h", 1, platform_tasks=("scaling",), tasks_per_s=4.0)
    )
    for service in range(40):
        leader.apply(SetCapacity(f"s{service}", "z", 1))
    started_ms, offered = leader.now_ms, 0
    for _ in range(50):
        leader.now_ms += 20
        offered += len(leader.renew("c1"))
    assert 1 <= offered <= 1 + (leader.now_ms - started_ms) * 2 // 1000


@pytest.mark.parametrize("kinds", [(), ("scaling",)])
def test_a_task_that_the_platform_does_not_want_is_not_offered(kinds):
    leader = Leader("c1", settings=DaemonSettings("s", "storage", "z", "h", 1, platform_tasks=kinds))
    assert leader.renew_all() == []
