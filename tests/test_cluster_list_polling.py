"""Polls of the runner list: a runner that any agent's list shows as draining is known to all agents in time."""

from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import fail, succeed
from twisted.internet.task import Clock

from frostpost.cluster import agent_sessions, lease_client, list_reading
from frostpost.cluster.agent_context import AgentContext
from frostpost.cluster.list_polling import ListPollSchedule, grant_poll
from frostpost.daemon.machine import Machine
from frostpost.proxy import runner_discovery
from frostpost.proxy.models import Runner
from frostpost.virtual_synchrony.agent_messages import LeaseReply, LeaseRequest
from frostpost.virtual_synchrony.endpoints import Endpoint, Member

PERIOD_MS, RENEWAL_MS = 300, 240
LEASE_MS, DRAIN_MS, CONTACT_MS, STEP_MS = 1200, 3000, 3000, 20
RUNNERS = tuple(f"r{n}" for n in range(6))


def polls_of(names, until_ms, first_renewal_ms, schedule=None):
    """Returns (time, agent) of each poll, if agents renew every RENEWAL_MS from first_renewal_ms(name) on."""
    schedule, polls = schedule or ListPollSchedule(), []
    renewals = sorted((at, name) for name in names for at in range(first_renewal_ms(name), until_ms, RENEWAL_MS))
    for now_ms, name in renewals:
        if grant_poll(schedule, name, PERIOD_MS, RENEWAL_MS, now_ms):
            polls.append((now_ms, name))
    return polls


@pytest.mark.parametrize("agents", [1, 2, 3, 8, 60, 370])
@pytest.mark.parametrize("spread_ms", [0, RENEWAL_MS])
def test_the_joint_poll_rate_does_not_depend_on_the_number_of_agents(agents, spread_ms):
    names = [f"e{n}" for n in range(agents)]
    polls = polls_of(names, 20000, lambda name: int(name[1:]) * spread_ms // agents)
    gaps = [b[0] - a[0] for a, b in zip(polls, polls[1:], strict=False)]
    assert min(gaps) >= PERIOD_MS and max(gaps) <= PERIOD_MS + 2 * RENEWAL_MS


@pytest.mark.parametrize("agents", [2, 8, 60])
def test_each_agent_polls_once_per_round(agents):
    polls = polls_of([f"e{n}" for n in range(agents)], 120000, lambda name: int(name[1:]) * 7 % RENEWAL_MS)
    for start in range(0, len(polls) - agents, agents):
        assert len({name for _, name in polls[start : start + agents]}) == agents


@given(st.sets(st.integers(0, 59)), st.integers(0, 8000))
def test_lost_agents_are_skipped(lost, lost_ms):
    names = [f"e{n}" for n in range(60)]
    schedule, before = ListPollSchedule(), lambda name: int(name[1:]) * 4
    polls_of(names, lost_ms + 1, before, schedule)
    remaining = [name for n, name in enumerate(names) if n not in lost]
    after = polls_of(
        remaining, lost_ms + 6000, lambda name: before(name) + -(-lost_ms // RENEWAL_MS) * RENEWAL_MS, schedule
    )
    times = [lost_ms, *(at_ms for at_ms, _ in after)]
    if remaining:
        assert max(b - a for a, b in zip(times, times[1:], strict=False)) <= PERIOD_MS + 3 * RENEWAL_MS


def test_an_agent_that_does_not_read_the_list_is_granted_no_poll():
    schedule = ListPollSchedule()
    assert not grant_poll(schedule, "c1", 0, RENEWAL_MS, 100)
    assert grant_poll(schedule, "e1", PERIOD_MS, RENEWAL_MS, 100)


class Fleet:
    """Pollers of many agents with a model of their leader and of the platform's list, on one clock."""

    def __init__(self, agents):
        self.clock, self.listed, self.draining_since_ms = Clock(), {name: False for name in RUNNERS}, {}
        self.agents, self.reconnected_ms, self.disconnected, self.failing_reads = [], {}, set(), set()
        self.leader_until_ms, self.calls = 0, 0
        self.new_leader()
        for number in range(agents):
            self.add(f"e{number}")

    def now_ms(self):
        return int(self.clock.seconds() * 1000)

    def new_leader(self):
        self.leader = agent_sessions.AgentSessions()

    def add(self, name):
        config = SimpleNamespace(
            list_ms=1200, drain_ms=DRAIN_MS, list_rate_per_s=440.0, lease_ms=LEASE_MS, idle_ms=1000
        )
        tokens = iter(range(len(self.agents) * 977, 1 << 40, 7919))
        machine = Machine(seconds=self.clock.seconds, token=lambda size: f"{next(tokens) % 65536:04x}")
        agent = AgentContext(config, self.clock, Endpoint(Member(name, 1), "edge", "z", "h", 1, 0), machine)
        agent.links["send"] = lambda to, request: self.on_request(agent, request)
        session = lease_client.session_of(agent)
        session.sequencer, session.last_reply_ms = "s1", self.now_ms()
        agent.directory = {"s1": Endpoint(Member("s1", 1), "storage", "z", "h", 2, 0)}
        agent.attachments["fetch_list"] = lambda: self.read_list(name)
        self.agents.append(agent)
        self.reconnected_ms[name] = self.now_ms()
        runner_discovery.poll(agent)

    def read_list(self, name):
        self.calls += 1
        if name in self.failing_reads:
            return fail(OSError())
        return succeed([Runner(i, "s", "10.0.0.1", 9, "z", 4, draining) for i, draining in self.listed.items()])

    def on_request(self, agent, request):
        name, now = agent.endpoint.member.name, self.now_ms()
        if name in self.disconnected or now < self.leader_until_ms or not isinstance(request, LeaseRequest):
            return
        reported = list_reading.reading_from_message(request.list_digest, request.list_age_ms, now)
        self.leader.newest_list = list_reading.newer(self.leader.newest_list, reported)
        reply = LeaseReply(
            request.sent_ms,
            LEASE_MS,
            "s1",
            agent_count=len(self.agents),
            draining=agent_sessions.merge_draining(self.leader, request.draining, now),
            list_digest=self.leader.newest_list.digest,
            list_age_ms=list_reading.age_ms(self.leader.newest_list, now),
            list_turn=grant_poll(self.leader.list_polls, name, request.list_period_ms, RENEWAL_MS, now),
        )
        self.clock.callLater(0.002, self.on_reply, agent, reply)

    def on_reply(self, agent, reply):
        session = lease_client.session_of(agent)
        session.agent_count, session.last_reply_ms = reply.agent_count, self.now_ms()
        lease_client.on_list_update(agent, reply)

    def reset_contact(self, names):
        """Restart the contact time of agents that were disconnected."""
        for name in names:
            self.reconnected_ms[name] = self.now_ms()

    def drain(self, runner):
        if not self.listed.get(runner, True):
            self.listed[runner] = True
            self.draining_since_ms[runner] = self.now_ms()

    def run(self, for_ms):
        """Renew leases and check the drain rule until the time is over."""
        until_ms = self.now_ms() + for_ms
        while self.now_ms() < until_ms:
            for agent in self.agents:
                if self.now_ms() - lease_client.session_of(agent).last_renewal_ms >= RENEWAL_MS:
                    lease_client.send_lease_requests(agent)
            self.clock.advance(STEP_MS / 1000)
            self.check()

    def check(self):
        now = self.now_ms()
        for runner, shown_ms in self.draining_since_ms.items():
            if now < shown_ms + DRAIN_MS:
                continue
            for agent in self.agents:
                name = agent.endpoint.member.name
                if (
                    name in self.disconnected
                    or now < self.leader_until_ms
                    or now < self.reconnected_ms[name] + CONTACT_MS
                ):
                    continue
                known_runner = agent.runners.get(runner)
                assert known_runner is None or known_runner.draining, (
                    f"{name} sends to {runner} {now - shown_ms} ms after"
                )


def apply_event(fleet, kind, number):
    """Apply one event; number selects which agents or runners it affects."""
    agents = fleet.agents
    names = [agent.endpoint.member.name for agent in agents]
    victims = set(names[number % len(names) :: 2][: len(names) // 2])
    match kind:
        case "drain":
            fleet.drain(RUNNERS[number % len(RUNNERS)])
        case "change":
            fleet.listed[f"x{fleet.now_ms()}"] = False
        case "start":
            fleet.add(f"e{len(agents)}")
        case "lose" if len(names) > 2:
            fleet.agents = [a for a in agents if a.endpoint.member.name not in victims - fleet.failing_reads]
            fleet.failing_reads &= {agent.endpoint.member.name for agent in fleet.agents[::3]}
        case "cut":
            fleet.disconnected |= victims
            fleet.clock.callLater(1.5, fleet.disconnected.difference_update, victims)
            fleet.clock.callLater(1.5, fleet.reset_contact, victims)
        case "leader":
            fleet.new_leader()
            fleet.leader_until_ms = fleet.now_ms() + 700
            fleet.reset_contact(names)
        case "failing_reads" if 3 * len(fleet.failing_reads) + 3 <= len(names):
            fleet.failing_reads |= set(names[number % len(names) :][:1])


EVENTS = st.tuples(
    st.sampled_from(("drain", "change", "start", "lose", "cut", "leader", "failing_reads")),
    st.integers(0, 1000),
    st.sampled_from((20, 200, 500, 1500, 4000)),
)


@settings(max_examples=60, deadline=None)
@given(st.integers(1, 24), st.lists(EVENTS, min_size=1, max_size=10))
def test_no_connected_agent_sends_to_a_runner_past_its_drain_time(agents, events):
    fleet = Fleet(agents)
    for kind, number, wait_ms in events:
        apply_event(fleet, kind, number)
        fleet.run(wait_ms)
    fleet.drain(RUNNERS[0])
    fleet.run(DRAIN_MS + 600)


@pytest.mark.parametrize("after_ms", range(20, 6000, 480))
def test_readings_synchronised_by_a_change_leave_no_gap(after_ms):
    fleet = Fleet(60)
    fleet.run(2000)
    apply_event(fleet, "change", 0)
    fleet.run(after_ms)
    fleet.drain(RUNNERS[0])
    fleet.run(DRAIN_MS + 600)


def test_without_changes_the_number_of_polls_does_not_grow_with_the_fleet():
    calls = []
    for agents in (4, 24, 60):
        fleet = Fleet(agents)
        fleet.run(1000)
        before = fleet.calls
        fleet.run(12000)
        calls.append(fleet.calls - before)
    assert max(calls) <= 12000 / PERIOD_MS + 2 and min(calls) >= 12000 / (PERIOD_MS + 2 * RENEWAL_MS)
