"""Usage at an agent and at the leader: nothing is lost between them, and the fleet's time of day is one."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import Struct, structs
from test_cluster_lease_client import endpoint_of, new_agent, new_sequencer, sent
from twisted.internet.task import Clock

from frostpost.cluster import agent as agents
from frostpost.cluster import agent_sessions, fleet_time, task_server, usage_collection, usage_reports
from frostpost.cluster.agent_sessions import AgentSession
from frostpost.cluster.fleet_time import FleetClock
from frostpost.cluster.settings import DaemonSettings
from frostpost.daemon.machine import Machine
from frostpost.ledger.operations import TASK_RULES
from frostpost.program_ledger.task_messages import CloseUsageWindow
from frostpost.virtual_synchrony.agent_messages import LeaseReply, LeaseRequest
from frostpost.virtual_synchrony.frames import Frame
from frostpost.virtual_synchrony.task_messages import TenantRequests, UsageReply, UsageReport, WindowUsage

WINDOW_MS, DAY_MS = 5000, 360_000_000 * 5000
ENDPOINTS = (endpoint_of("s1", port=7), endpoint_of("s2", port=8))
SETTINGS = DaemonSettings("e1", "edge", "z", "h", 2, front=("h", 1), platform_tasks=("usage",), list_host="p")


def reporting_agent():
    """An agent with a lease whose leader takes reports; fleet time is its own plus DAY_MS."""
    clock = Clock()
    agent = new_agent(clock)
    agent.settings = SETTINGS
    grant(agent)
    sent(agent)
    return clock, agent


def grant(agent, leader="s1", epoch=1, closed=5):
    now_ms = int(agent.reactor.seconds() * 1000)
    reply = LeaseReply(now_ms, 10000, leader, epoch=epoch, endpoints=ENDPOINTS, fleet_ms=DAY_MS + now_ms, closed=closed)
    agents.on_frame(agent, Frame(1, next(e for e in ENDPOINTS if e.member.name == leader), "", reply))


def reports(agent):
    return [(to, body) for to, body in sent(agent) if isinstance(body, UsageReport)]


def counts(report):
    return {usage.window: {c.tenant: c.requests for c in usage.counts} for usage in report.windows}


def test_a_report_holds_the_cumulative_counts_by_window_of_fleet_time():
    clock, agent = reporting_agent()
    for at_ms, tenant in ((100, "a"), (200, "b"), (300, "a"), (5100, "a")):
        usage_reports.add_request(agent, tenant, at_ms)
    clock.advance(1)
    usage_reports.report_if_due(agent)
    [(to, report)] = reports(agent)
    assert to == "@h:7" and counts(report) == {360_000_000: {"a": 2, "b": 1}, 360_000_001: {"a": 1}}


def test_counts_that_come_between_a_report_and_its_reply_are_sent_again():
    clock, agent = reporting_agent()
    usage_reports.add_request(agent, "a", 0)
    usage_reports.send_report(agent)
    usage_reports.add_request(agent, "a", 0)
    usage_reports.on_usage_reply(agent, UsageReply(1, 5))
    sent(agent)
    usage_reports.send_report(agent)
    [(_, report)] = reports(agent)
    assert counts(report) == {360_000_000: {"a": 2}}
    usage_reports.on_usage_reply(agent, UsageReply(2, 5))
    usage_reports.send_report(agent)
    assert reports(agent) == []


@pytest.mark.parametrize("agents, interval_ms", [(1, 200), (6, 200), (20, 500), (40, 1000), (370, 1000)])
def test_few_agents_report_more_often_since_each_loses_more_when_it_dies(agents, interval_ms):
    clock, agent = reporting_agent()
    agent.session.agent_count = agents
    usage_reports.send_report(agent)
    assert usage_reports.due_ms(agent) == interval_ms


def test_a_reply_to_an_earlier_report_acknowledges_nothing():
    clock, agent = reporting_agent()
    usage_reports.add_request(agent, "a", 0)
    usage_reports.send_report(agent)
    usage_reports.send_report(agent)
    usage_reports.on_usage_reply(agent, UsageReply(1, 5))
    sent(agent)
    usage_reports.send_report(agent)
    assert [counts(report) for _, report in reports(agent)] == [{360_000_000: {"a": 1}}]


@pytest.mark.parametrize("leader, epoch", [("s2", 2), ("s1", 3)])
def test_a_new_leader_gets_all_counts_at_once(leader, epoch):
    clock, agent = reporting_agent()
    usage_reports.add_request(agent, "a", 0)
    usage_reports.send_report(agent)
    usage_reports.on_usage_reply(agent, UsageReply(1, 5))
    sent(agent)
    grant(agent, leader, epoch)
    [(to, report)] = reports(agent)
    assert counts(report) == {360_000_000: {"a": 1}} and to == {"s1": "@h:7", "s2": "@h:8"}[leader]


def test_a_closed_window_is_forgotten_and_counts_for_it_are_dropped():
    clock, agent = reporting_agent()
    usage_reports.add_request(agent, "a", 0)
    grant(agent, closed=360_000_000)
    assert agent.usage.windows == {}
    usage_reports.add_request(agent, "a", 0)
    assert agent.usage.windows == {} and agent.counts["usage_late"] == 1


def test_a_leader_of_an_earlier_build_gets_no_report():
    clock, agent = reporting_agent()
    grant(agent, closed=-1)
    usage_reports.add_request(agent, "a", 0)
    clock.advance(2)
    usage_reports.report_if_due(agent)
    assert reports(agent) == [] and usage_reports.due_ms(agent) is None


def leading(rules=TASK_RULES, kinds=("usage",)):
    """A sequencer long in office, whose submitted operations are recorded."""
    clock = Clock()
    clock.advance(60)
    ctx, sessions = new_sequencer(clock, granted_ms=60000)
    ctx.machine = Machine(seconds=clock.seconds, wall_s=lambda: DAY_MS / 1000 + clock.seconds())
    ctx.core.ledger.rules = rules
    sessions.settings = DaemonSettings("s1", "storage", "z", "h", 1, platform_tasks=kinds)
    return clock, ctx, sessions


def report(ctx, sessions, name, window, incarnation=1, number=1, **tenants):
    usage = WindowUsage(window, tuple(TenantRequests(t, n) for t, n in tenants.items()))
    endpoint = endpoint_of(name, "edge", 9, incarnation)
    agent_sessions.on_agent_message(ctx, sessions, endpoint, UsageReport(number, (usage,)))


@given(st.permutations([(1, 2), (2, 5), (3, 6)]))
def test_the_greatest_count_of_each_process_counts_in_any_order_of_reports(order):
    _, ctx, sessions = leading()
    for number, requests in order:
        report(ctx, sessions, "e1", 7, number=number, a=requests)
    report(ctx, sessions, "e1", 7, incarnation=2, a=1)
    report(ctx, sessions, "e2", 7, a=3, b=4)
    assert usage_collection.window_totals(sessions.usage, 7) == (TenantRequests("a", 10), TenantRequests("b", 4))


class Submitted(Struct):
    """Operations that the leader submitted."""

    operations: list = []


@pytest.fixture
def submitted(monkeypatch):
    found = Submitted()

    def submit(ctx, operation, timeout_ms):
        from twisted.internet.defer import succeed

        found.operations.append(operation)
        return succeed(None)

    monkeypatch.setattr(usage_collection, "submit", submit)
    return found


def test_a_window_is_closed_once_reports_had_time_to_come(submitted):
    clock, ctx, sessions = leading()
    window = (DAY_MS + 60000) // WINDOW_MS
    report(ctx, sessions, "e1", window, a=1)
    close_ms = WINDOW_MS + int(usage_collection.CLOSE_RATIO * sessions.settings.usage_delay_ms)
    clock.advance((close_ms - 1) / 1000)
    task_server.collect(ctx, sessions)
    assert submitted.operations == []
    clock.advance(0.001)
    task_server.collect(ctx, sessions)
    assert submitted.operations == [CloseUsageWindow(window, (TenantRequests("a", 1),))]


def test_a_window_without_requests_is_closed_too_and_windows_in_order(submitted):
    clock, ctx, sessions = leading()
    current = (DAY_MS + 60000) // WINDOW_MS
    ctx.core.ledger.program_ledger.tasks.closed_window = current - 4
    task_server.collect(ctx, sessions)
    assert submitted.operations == [CloseUsageWindow(current - 3, ())]


def test_a_new_leader_waits_until_agents_have_sent_their_counts_again(submitted):
    clock, ctx, sessions = leading()
    ctx.core.ledger.program_ledger.tasks.closed_window = (DAY_MS + 60000) // WINDOW_MS - 4
    ctx.core.synchrony.installed_ms = 60000 - task_server.NEW_LEADER_WAIT_MS + 1
    task_server.collect(ctx, sessions)
    assert submitted.operations == []
    clock.advance(0.001)
    task_server.collect(ctx, sessions)
    assert len(submitted.operations) == 1


@pytest.mark.parametrize("rules, kinds", [(TASK_RULES - 1, ("usage",)), (TASK_RULES, ())])
def test_nothing_is_taken_before_all_members_know_the_operations_or_when_nothing_is_wanted(submitted, rules, kinds):
    _, ctx, sessions = leading(rules, kinds)
    ctx.core.ledger.program_ledger.tasks.closed_window = 5
    request = LeaseRequest(0, 0, wall_ms=DAY_MS, can_run_tasks=True)
    reply = agent_sessions.on_lease_request(ctx, sessions, endpoint_of("c1", "core", 5), request)
    report(ctx, sessions, "e1", 7, a=1)
    task_server.collect(ctx, sessions)
    assert reply.task_offers == () and reply.closed == -1 and submitted.operations == [] and ctx.out == []


def test_a_task_is_offered_only_to_agents_that_can_run_it():
    _, ctx, sessions = leading()
    ctx.core.ledger.program_ledger.tasks.windows[3] = ()
    for can_run, offers in ((False, 0), (True, 1)):
        request = LeaseRequest(0, 0, wall_ms=DAY_MS, can_run_tasks=can_run)
        reply = agent_sessions.on_lease_request(ctx, sessions, endpoint_of("c1", "core", 5), request)
        assert len(reply.task_offers) == offers and reply.lease_ms > 0


def offsets(now_ms, *values):
    return [AgentSession("", 1, 0, now_ms + 1000, value) for value in values]


@given(st.lists(st.integers(-20, 20), min_size=4, max_size=9), st.lists(st.integers(-6000, 6000), max_size=3))
def test_a_minority_of_wrong_clocks_does_not_move_the_fleets_time(right, wrong):
    machine = Machine(wall_s=lambda: DAY_MS / 1000)
    clock, sessions = FleetClock(), offsets(0, *(DAY_MS + offset for offset in right + wrong))
    assert abs(fleet_time.leader_time_ms(clock, sessions, machine, 0) - DAY_MS) <= 20


def test_agents_without_a_lease_or_a_time_do_not_count_in_the_fleets_time():
    machine = Machine(wall_s=lambda: DAY_MS / 1000)
    expired = [AgentSession("", 1, 0, -1, DAY_MS + 5000) for _ in range(9)]
    unknown = [AgentSession("", 1, 0, 1000) for _ in range(9)]
    assert fleet_time.leader_time_ms(FleetClock(), expired + unknown, machine, 0) == DAY_MS


def test_a_new_leader_tells_no_time_before_the_agents_had_time_to_send_theirs():
    clock, ctx, sessions = leading()
    ctx.core.synchrony.installed_ms = 60000
    request = LeaseRequest(0, 0, wall_ms=DAY_MS + 6000)
    assert agent_sessions.on_lease_request(ctx, sessions, endpoint_of("c1", "core", 5), request).fleet_ms == 0
    for name in ("c2", "c3", "c4"):
        request = LeaseRequest(0, 0, wall_ms=DAY_MS + 60000)
        agent_sessions.on_lease_request(ctx, sessions, endpoint_of(name, "core", 5), request)
    clock.advance(1.2)
    ctx.core.synchrony.peers["s2"].granted_ms = ctx.core.synchrony.peers["s3"].granted_ms = 61200
    request = LeaseRequest(0, 0, wall_ms=DAY_MS + 61200)
    reply = agent_sessions.on_lease_request(ctx, sessions, endpoint_of("c2", "core", 5), request)
    assert reply.fleet_ms == DAY_MS + 61200


def test_nothing_is_counted_where_only_orders_of_runners_are_wanted():
    clock, agent = reporting_agent()
    agent.settings = structs.replace(SETTINGS, platform_tasks=("scaling",))
    usage_reports.add_request(agent, "a", 0)
    grant(agent, closed=0)
    assert agent.usage.windows == {} and reports(agent) == []


def test_an_agent_keeps_the_fleets_time_although_its_own_clock_is_set():
    clock, agent = reporting_agent()
    agent.machine = Machine(seconds=clock.seconds, wall_s=lambda: 12345.0)
    clock.advance(3)
    assert fleet_time.agent_time_ms(agent, 3000) == DAY_MS + 3000


def test_a_reply_that_took_long_does_not_move_a_known_time():
    clock, agent = reporting_agent()
    clock.advance(2)
    before = fleet_time.agent_time_ms(agent, 0)
    slow = LeaseReply(0, 10000, "s1", epoch=1, endpoints=ENDPOINTS, fleet_ms=DAY_MS, closed=5)
    agents.on_frame(agent, Frame(1, ENDPOINTS[0], "", slow))
    assert fleet_time.agent_time_ms(agent, 0) == before
