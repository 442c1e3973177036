"""Turns at reading the list of runners: what any agent's list shows as draining, all agents know in time."""

from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import fail, succeed
from twisted.internet.task import Clock

from frostpost.cluster import agent_sessions, lease_client, list_reading
from frostpost.cluster.agent_context import AgentContext
from frostpost.cluster.list_turns import ListTurns, give_turn
from frostpost.daemon.machine import Machine
from frostpost.proxy import runner_discovery
from frostpost.proxy.models import Runner
from frostpost.virtual_synchrony.agent_messages import LeaseReply, LeaseRequest
from frostpost.virtual_synchrony.endpoints import Endpoint, Member

PERIOD_MS, RENEWAL_MS = 300, 240
LEASE_MS, DRAIN_MS, CONTACT_MS, STEP_MS = 1200, 3000, 3000, 20
RUNNERS = tuple(f"r{n}" for n in range(6))


def turns_of(names, until_ms, renews_at, turns=None):
    """Who gets a turn when, if each agent renews at renews_at(name) and every RENEWAL_MS from then on."""
    turns, given_turns = turns or ListTurns(), []
    renewals = sorted((at, name) for name in names for at in range(renews_at(name), until_ms, RENEWAL_MS))
    for now_ms, name in renewals:
        if give_turn(turns, name, PERIOD_MS, RENEWAL_MS, now_ms):
            given_turns.append((now_ms, name))
    return given_turns


@pytest.mark.parametrize("agents", [1, 2, 3, 8, 60, 370])
@pytest.mark.parametrize("spread_ms", [0, RENEWAL_MS])
def test_turns_come_at_a_joint_rate_whatever_the_number_of_agents(agents, spread_ms):
    names = [f"e{n}" for n in range(agents)]
    turns = turns_of(names, 20000, lambda name: int(name[1:]) * spread_ms // agents)
    gaps = [b[0] - a[0] for a, b in zip(turns, turns[1:], strict=False)]
    assert min(gaps) >= PERIOD_MS and max(gaps) <= PERIOD_MS + 2 * RENEWAL_MS


@pytest.mark.parametrize("agents", [2, 8, 60])
def test_in_a_round_each_agent_has_one_turn(agents):
    turns = turns_of([f"e{n}" for n in range(agents)], 120000, lambda name: int(name[1:]) * 7 % RENEWAL_MS)
    for start in range(0, len(turns) - agents, agents):
        assert len({name for _, name in turns[start : start + agents]}) == agents


@given(st.sets(st.integers(0, 59)), st.integers(0, 8000))
def test_agents_that_are_lost_are_passed_over(lost, lost_ms):
    names = [f"e{n}" for n in range(60)]
    turns, before = ListTurns(), lambda name: int(name[1:]) * 4
    turns_of(names, lost_ms + 1, before, turns)
    left = [name for n, name in enumerate(names) if n not in lost]
    after = turns_of(left, lost_ms + 6000, lambda name: before(name) + -(-lost_ms // RENEWAL_MS) * RENEWAL_MS, turns)
    times = [lost_ms, *(at_ms for at_ms, _ in after)]
    if left:
        assert max(b - a for a, b in zip(times, times[1:], strict=False)) <= PERIOD_MS + 3 * RENEWAL_MS


def test_who_does_not_read_the_list_gets_no_turn():
    turns = ListTurns()
    assert not give_turn(turns, "c1", 0, RENEWAL_MS, 100)
    assert give_turn(turns, "e1", PERIOD_MS, RENEWAL_MS, 100)


class Fleet:
    """Real pollers of many agents beside a model of their leader and of the platform's list; one clock for all."""

    def __init__(self, agents):
        self.clock, self.entries, self.shown_draining = Clock(), {name: False for name in RUNNERS}, {}
        self.agents, self.in_touch_ms, self.silent, self.listless = [], {}, set(), set()
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
        session.sequencer, session.heard_ms = "s1", self.now_ms()
        agent.directory = {"s1": Endpoint(Member("s1", 1), "storage", "z", "h", 2, 0)}
        agent.extras["fetch_list"] = lambda: self.read(name)
        self.agents.append(agent)
        self.in_touch_ms[name] = self.now_ms()
        runner_discovery.poll(agent)

    def read(self, name):
        self.calls += 1
        if name in self.listless:
            return fail(OSError())
        return succeed([Runner(i, "s", "10.0.0.1", 9, "z", 4, draining) for i, draining in self.entries.items()])

    def on_request(self, agent, request):
        name, now = agent.endpoint.member.name, self.now_ms()
        if name in self.silent or now < self.leader_until_ms or not isinstance(request, LeaseRequest):
            return
        told = list_reading.reading_from_message(request.list_digest, request.list_age_ms, now)
        self.leader.newest_list = list_reading.newer(self.leader.newest_list, told)
        reply = LeaseReply(
            request.sent_ms,
            LEASE_MS,
            "s1",
            agent_count=len(self.agents),
            draining=agent_sessions.merge_draining(self.leader, request.draining, now),
            list_digest=self.leader.newest_list.digest,
            list_age_ms=list_reading.age_ms(self.leader.newest_list, now),
            list_turn=give_turn(self.leader.list_turns, name, request.list_period_ms, RENEWAL_MS, now),
        )
        self.clock.callLater(0.002, self.on_reply, agent, reply)

    def on_reply(self, agent, reply):
        session = lease_client.session_of(agent)
        session.agent_count, session.heard_ms = reply.agent_count, self.now_ms()
        lease_client.on_list_update(agent, reply)

    def disturb(self, names):
        """Machines that are in touch again only once the contact time has passed."""
        for name in names:
            self.in_touch_ms[name] = self.now_ms()

    def drain(self, runner):
        if not self.entries.get(runner, True):
            self.entries[runner] = True
            self.shown_draining[runner] = self.now_ms()

    def run(self, for_ms):
        """Renew leases and check the rule until the time is over."""
        until_ms = self.now_ms() + for_ms
        while self.now_ms() < until_ms:
            for agent in self.agents:
                if self.now_ms() - lease_client.session_of(agent).renewed_ms >= RENEWAL_MS:
                    lease_client.send_lease_requests(agent)
            self.clock.advance(STEP_MS / 1000)
            self.check()

    def check(self):
        now = self.now_ms()
        for runner, shown_ms in self.shown_draining.items():
            if now < shown_ms + DRAIN_MS:
                continue
            for agent in self.agents:
                name = agent.endpoint.member.name
                if name in self.silent or now < self.leader_until_ms or now < self.in_touch_ms[name] + CONTACT_MS:
                    continue
                known = agent.runners.get(runner)
                assert known is None or known.draining, f"{name} sends to {runner} {now - shown_ms} ms after"


def strike(fleet, kind, number):
    """One event of a day; number picks whom it befalls."""
    agents = fleet.agents
    names = [agent.endpoint.member.name for agent in agents]
    victims = set(names[number % len(names) :: 2][: len(names) // 2])
    match kind:
        case "drain":
            fleet.drain(RUNNERS[number % len(RUNNERS)])
        case "change":
            fleet.entries[f"x{fleet.now_ms()}"] = False
        case "start":
            fleet.add(f"e{len(agents)}")
        case "lose" if len(names) > 2:
            fleet.agents = [a for a in agents if a.endpoint.member.name not in victims - fleet.listless]
            fleet.listless &= {agent.endpoint.member.name for agent in fleet.agents[::3]}
        case "cut":
            fleet.silent |= victims
            fleet.clock.callLater(1.5, fleet.silent.difference_update, victims)
            fleet.clock.callLater(1.5, fleet.disturb, victims)
        case "leader":
            fleet.new_leader()
            fleet.leader_until_ms = fleet.now_ms() + 700
            fleet.disturb(names)
        case "listless" if 3 * len(fleet.listless) + 3 <= len(names):
            fleet.listless |= set(names[number % len(names) :][:1])


EVENTS = st.tuples(
    st.sampled_from(("drain", "change", "start", "lose", "cut", "leader", "listless")),
    st.integers(0, 1000),
    st.sampled_from((20, 200, 500, 1500, 4000)),
)


@settings(max_examples=60, deadline=None)
@given(st.integers(1, 24), st.lists(EVENTS, min_size=1, max_size=10))
def test_no_agent_in_touch_sends_to_a_runner_past_its_drain_time(agents, events):
    fleet = Fleet(agents)
    for kind, number, wait_ms in events:
        strike(fleet, kind, number)
        fleet.run(wait_ms)
    fleet.drain(RUNNERS[0])
    fleet.run(DRAIN_MS + 600)


@pytest.mark.parametrize("after_ms", range(20, 6000, 480))
def test_readings_that_a_change_put_in_step_leave_no_gap(after_ms):
    fleet = Fleet(60)
    fleet.run(2000)
    strike(fleet, "change", 0)
    fleet.run(after_ms)
    fleet.drain(RUNNERS[0])
    fleet.run(DRAIN_MS + 600)


def test_while_nothing_changes_the_calls_of_a_fleet_do_not_grow_with_its_agents():
    calls = []
    for agents in (4, 24, 60):
        fleet = Fleet(agents)
        fleet.run(1000)
        before = fleet.calls
        fleet.run(12000)
        calls.append(fleet.calls - before)
    assert max(calls) <= 12000 / PERIOD_MS + 2 and min(calls) >= 12000 / (PERIOD_MS + 2 * RENEWAL_MS)
