from types import SimpleNamespace

from twisted.internet.task import Clock

from frostpost.cluster import agent as assembly
from frostpost.cluster import agent_sessions, lease_client
from frostpost.cluster.agent_context import AgentContext
from frostpost.cluster.settings import DaemonSettings
from frostpost.daemon.machine import Machine
from frostpost.ledger.state import Ledger
from frostpost.virtual_synchrony.agent_messages import (
    DirectoryReply,
    DirectoryRequest,
    LeaseReply,
    LeaseRequest,
    RoutingRequest,
    RoutingUpdate,
)
from frostpost.virtual_synchrony.bounds import Bounds
from frostpost.virtual_synchrony.configuration import Configuration, ConfigurationId
from frostpost.virtual_synchrony.endpoints import Endpoint, Member
from frostpost.virtual_synchrony.frames import Frame
from frostpost.virtual_synchrony.state import Peer, Synchrony

LEASE_MS = 1200
IDS = ConfigurationId(3, "s1", 1)


def endpoint_of(name, role="storage", port=1, incarnation=1):
    return Endpoint(Member(name, incarnation), role, "z", "h", port, 0)


def new_agent(clock, name="e1", seeds=("h:9",)):
    settings = DaemonSettings(name, "edge", "z", "h", 2, seeds=seeds, lease_ms=LEASE_MS)
    agent = AgentContext(settings, clock, endpoint_of(name, "edge", 2), Machine(seconds=clock.seconds))
    agent.links["send"] = lambda to, body: agent.extras.setdefault("sent", []).append((to, body))
    agent.extras["routing_from_body"] = lambda body: body.decode()
    lease_client.session_of(agent)
    return agent


def sent(agent):
    return agent.extras.pop("sent", [])


def new_ring(clock, granted_ms=0, voters=("s1", "s2", "s3")):
    """A sequencer whose own lease runs from granted_ms."""
    members = tuple(Member(v, 1) for v in voters)
    synchrony = Synchrony(
        endpoint_of("s1"),
        Bounds(lease_ms=LEASE_MS),
        (),
        voters,
        True,
        None,
        Configuration(IDS, members, "s1"),
        IDS,
        voters=voters,
    )
    synchrony.primary.opened, synchrony.applied = True, 5
    synchrony.peers = {v: Peer(endpoint_of(v), granted_ms=granted_ms) for v in voters[1:]}
    core = SimpleNamespace(synchrony=synchrony, ledger=Ledger())
    ctx = SimpleNamespace(core=core, machine=Machine(seconds=clock.seconds), links={}, out=[])
    ctx.links["send"] = lambda to, body: ctx.out.append((to, body))
    return ctx, agent_sessions.AgentSessions()


def route(ctx, sessions, version):
    ctx.core.ledger.program_ledger.routing_version = version
    ctx.core.ledger.program_ledger.routing_body = b"v%d" % version
    agent_sessions.announce_routing(ctx, sessions)


def fresh(ctx, clock):
    for peer in ctx.core.synchrony.peers.values():
        peer.granted_ms = int(clock.seconds() * 1000)


def renewed(ctx, sessions, version, sent_ms=0, name="e1", incarnation=1):
    return agent_sessions.on_lease_request(
        ctx, sessions, endpoint_of(name, "edge", 2, incarnation), LeaseRequest(sent_ms, version)
    )


def test_lease_counts_from_the_leafs_send_time_and_ends_with_the_grant():
    clock = Clock()
    agent = new_agent(clock)
    clock.advance(0.9)
    assert lease_client.on_lease_reply(agent, endpoint_of("s1"), LeaseReply(100, 1000, "s1"))
    clock.advance(0.19)
    assert lease_client.holds_lease(agent)
    clock.advance(0.02)
    assert not lease_client.holds_lease(agent)
    lease_client.on_lease_reply(agent, endpoint_of("s1"), LeaseReply(50, 1000, "s1"))
    assert not lease_client.holds_lease(agent)


def test_leaf_without_a_grant_or_with_an_empty_one_is_not_ok():
    agent = new_agent(Clock())
    assert not lease_client.holds_lease(agent)
    assert (
        lease_client.on_lease_reply(agent, endpoint_of("s2"), LeaseReply(0, 0, "s1"))
        and agent.session.sequencer == "s1"
    )
    assert not lease_client.holds_lease(agent)


def test_empty_grant_takes_no_running_lease_away_and_changes_no_sequencer():
    agent = new_agent(Clock())
    lease_client.on_lease_reply(agent, endpoint_of("s1"), LeaseReply(0, 1000, "s1"))
    assert not lease_client.on_lease_reply(agent, endpoint_of("s2"), LeaseReply(0, 0, "s2"))
    assert lease_client.holds_lease(agent) and agent.session.sequencer == "s1"


def test_granted_lease_never_outlives_the_sequencers_own():
    clock = Clock()
    clock.advance(1.0)
    ctx, sessions = new_ring(clock, granted_ms=300)
    assert renewed(ctx, sessions, 0, 990).lease_ms == 500
    assert sessions.agents["e1"].until_ms == 1500
    clock.advance(0.5)
    assert renewed(ctx, sessions, 0, 1490).lease_ms == 0


def test_no_grant_from_one_that_does_not_sequence_or_has_no_majority():
    clock = Clock()
    ctx, sessions = new_ring(clock)
    ctx.core.synchrony.configuration = Configuration(IDS, ctx.core.synchrony.configuration.members, "s2")
    granted = renewed(ctx, sessions, 0)
    assert granted == LeaseReply(0, 0, "s2", endpoints=granted.endpoints)
    assert [(seen.address, seen.until_ms < 0) for seen in sessions.agents.values()] == [("@h:2", True)]
    ctx, sessions = new_ring(clock, granted_ms=-LEASE_MS)
    assert renewed(ctx, sessions, 0).lease_ms == 0


def test_leaf_behind_is_told_the_routing_and_then_gets_no_lease():
    clock = Clock()
    clock.advance(10)
    ctx, sessions = new_ring(clock, 10000)
    renewed(ctx, sessions, 0)
    route(ctx, sessions, 1)
    assert ctx.out == [("@h:2", RoutingUpdate(1, b"v1"))]
    clock.advance(LEASE_MS / 2000 + 0.001)
    fresh(ctx, clock)
    agent = new_agent(clock)
    lease_client.on_lease_reply(agent, endpoint_of("s1"), renewed(ctx, sessions, 0, int(clock.seconds() * 1000)))
    assert not lease_client.holds_lease(agent)
    assert renewed(ctx, sessions, 1, 0).lease_ms == LEASE_MS


def test_honoured_waits_for_every_running_lease_and_not_for_a_lapsed_one():
    clock = Clock()
    clock.advance(10)
    ctx, sessions = new_ring(clock, 10000)
    for name in ("e1", "e2"):
        renewed(ctx, sessions, 0, name=name)
    route(ctx, sessions, 1)
    assert agent_sessions.honoured_version(ctx, sessions) == 0
    assert renewed(ctx, sessions, 1).honoured == 0
    clock.advance(LEASE_MS / 1000 - 0.001)
    assert agent_sessions.honoured_version(ctx, sessions) == 0
    clock.advance(0.001)
    assert agent_sessions.honoured_version(ctx, sessions) == 1


def test_honoured_waits_out_the_leases_of_an_older_sequencer():
    clock = Clock()
    clock.advance(10)
    ctx, sessions = new_ring(clock, 10000)
    route(ctx, sessions, 1)
    ctx.core.synchrony.installed_ms = 10000
    clock.advance(LEASE_MS / 1000 - 0.001)
    assert agent_sessions.honoured_version(ctx, sessions) == 0
    clock.advance(0.001)
    assert agent_sessions.honoured_version(ctx, sessions) == 1


def test_no_leaf_gets_a_lease_on_an_older_routing_than_was_told_honoured():
    clock = Clock()
    clock.advance(10)
    ctx, sessions = new_ring(clock, 10000)
    renewed(ctx, sessions, 0, name="e1")
    route(ctx, sessions, 1)
    assert renewed(ctx, sessions, 1, name="e1").honoured == 1
    clock.advance(0.05)
    fresh(ctx, clock)
    assert renewed(ctx, sessions, 0, name="started-before").lease_ms <= 1


def test_restarted_leaf_counts_by_its_new_boot():
    clock = Clock()
    clock.advance(10)
    ctx, sessions = new_ring(clock, 10000)
    route(ctx, sessions, 1)
    renewed(ctx, sessions, 1)
    assert renewed(ctx, sessions, 0, incarnation=2).lease_ms == 0
    assert agent_sessions.honoured_version(ctx, sessions) == 1
    assert renewed(ctx, sessions, 1, incarnation=2).lease_ms > 0


def test_leaf_takes_a_newer_routing_once_and_tells_the_sequencer_at_once():
    clock = Clock()
    agent = new_agent(clock)
    lease_client.on_lease_reply(
        agent, endpoint_of("s1", port=7), LeaseReply(0, 900, "s1", version=2, endpoints=(endpoint_of("s1", port=7),))
    )
    assert sent(agent) == [("@h:7", RoutingRequest(0))]
    for version in (2, 2, 1):
        lease_client.on_routing_update(agent, RoutingUpdate(version, b"v%d" % version))
    assert sent(agent) == [("@h:7", LeaseRequest(0, 2, 0))] and agent.routing == "v2" and agent.counts["routings"] == 1


def test_leaf_that_hears_nothing_asks_every_daemon_and_the_seeds():
    clock = Clock()
    agent = new_agent(clock)
    lease_client.on_directory(agent, [endpoint_of("s1", port=7), endpoint_of("s2", port=8), endpoint_of("e9", "edge")])
    lease_client.on_lease_reply(agent, endpoint_of("s1", port=7), LeaseReply(0, 900, "s1"))
    sent(agent)
    clock.advance(0.24)
    lease_client.renew_if_due(agent)
    assert [to for to, _ in sent(agent)] == ["@h:7"]
    clock.advance(0.9)
    assembly.run_due_work(agent)
    assert [(to, type(body)) for to, body in sent(agent)] == [
        ("@h:7", LeaseRequest),
        ("@h:8", LeaseRequest),
        ("@h:9", DirectoryRequest),
    ]


def known(clock, *names):
    """An agent that holds a lease of s1 and knows the other replicas."""
    agent = new_agent(clock)
    places = tuple(endpoint_of(name, port=number) for number, name in enumerate(names, 7))
    lease_client.on_lease_reply(
        agent, places[0], LeaseReply(int(clock.seconds() * 1000), 1000, "s1", epoch=4, endpoints=places)
    )
    sent(agent)
    return agent, places


def test_an_empty_grant_of_the_leader_itself_sends_the_agent_to_all_replicas_at_once():
    clock = Clock()
    clock.advance(1)
    agent, places = known(clock, "s1", "s2", "s3")
    clock.advance(LEASE_MS / 5000)
    lease_client.on_lease_reply(agent, places[0], LeaseReply(1000, 0, "s1", epoch=4))
    assert [(to, type(body)) for to, body in sent(agent)] == [
        ("@h:7", LeaseRequest),
        ("@h:8", LeaseRequest),
        ("@h:9", LeaseRequest),
    ]
    assert lease_client.holds_lease(agent)


def test_empty_grants_are_asked_for_again_at_the_pace_of_a_search():
    clock = Clock()
    clock.advance(1)
    agent, places = known(clock, "s1", "s2")
    for _ in range(24):
        clock.advance(0.02)
        lease_client.on_lease_reply(agent, places[0], LeaseReply(1000, 0, "s1", epoch=4))
        assembly.run_due_work(agent)
    asked = [to for to, body in sent(agent) if isinstance(body, LeaseRequest)]
    assert LEASE_MS * 0.4 / (LEASE_MS / lease_client.SEARCHES_PER_LEASE) - 2 <= asked.count("@h:8") <= 9


def test_an_empty_grant_because_the_agents_routing_is_old_sets_off_no_search():
    clock = Clock()
    clock.advance(1)
    agent, places = known(clock, "s1", "s2", "s3")
    clock.advance(LEASE_MS / 5000)
    lease_client.on_lease_reply(agent, places[0], LeaseReply(1240, 0, "s1", version=3, epoch=4))
    assert sent(agent) == [("@h:7", RoutingRequest(0))]


def test_a_replica_that_greets_is_asked_though_the_lease_still_runs():
    clock = Clock()
    clock.advance(1)
    agent, places = known(clock, "s1", "s2", "s3")
    assembly.on_frame(agent, Frame(1, places[1], "", DirectoryReply(places)))
    assert [(to, type(body)) for to, body in sent(agent)] == [("@h:8", LeaseRequest)]
    assembly.on_frame(agent, Frame(1, places[0], "", DirectoryReply(places)))
    assert sent(agent) == []


def test_a_grant_of_an_older_configuration_takes_no_agent_back():
    clock = Clock()
    clock.advance(1)
    agent, places = known(clock, "s1", "s2")
    assert lease_client.on_lease_reply(agent, places[1], LeaseReply(1000, 600, "s2", epoch=5, endpoints=places))
    assert not lease_client.on_lease_reply(agent, places[0], LeaseReply(1000, 1200, "s1", epoch=4))
    assert agent.session.sequencer == "s2" and agent.session.until_ms == 2000


def test_the_known_leader_that_leads_no_more_sends_the_agent_to_the_one_it_names_or_to_all():
    clock = Clock()
    clock.advance(1)
    agent, places = known(clock, "s1", "s2", "s3")
    assert lease_client.on_lease_reply(agent, places[0], LeaseReply(1000, 0, "s2"))
    assert agent.session.sequencer == "s2" and lease_client.holds_lease(agent)
    clock.advance(LEASE_MS / 5000)
    assert not lease_client.on_lease_reply(agent, places[1], LeaseReply(1000, 0, ""))
    assert [to for to, _ in sent(agent)] == ["@h:7", "@h:8", "@h:9"]


def test_another_replica_that_names_a_leader_changes_nothing_while_the_lease_runs():
    clock = Clock()
    clock.advance(1)
    agent, places = known(clock, "s1", "s2", "s3")
    assert not lease_client.on_lease_reply(agent, places[1], LeaseReply(1000, 0, "s3"))
    assert agent.session.sequencer == "s1" and sent(agent) == []


def test_an_agent_introduces_itself_to_replicas_that_are_new_to_it():
    clock = Clock()
    clock.advance(1)
    agent, places = known(clock, "s1", "s2", "s3")
    anew = (places[0], endpoint_of("s2", port=8, incarnation=2), places[2])
    lease_client.on_lease_reply(agent, places[0], LeaseReply(1000, 1000, "s1", epoch=5, endpoints=anew))
    assert [(to, type(body)) for to, body in sent(agent)] == [("@h:8", LeaseRequest)]


def test_one_renewal_in_many_goes_to_all_replicas():
    clock = Clock()
    clock.advance(1)
    agent, places = known(clock, "s1", "s2", "s3")
    for _ in range(2 * lease_client.INTRODUCE_EVERY):
        lease_client.on_lease_reply(agent, places[0], LeaseReply(int(clock.seconds() * 1000), 1000, "s1", epoch=4))
        lease_client.send_lease_requests(agent)
    assert [to for to, _ in sent(agent)].count("@h:8") == 2


def test_a_replica_that_does_not_lead_knows_the_agents_that_spoke_to_it():
    clock = Clock()
    ctx, sessions = new_ring(clock)
    ctx.core.synchrony.configuration = Configuration(IDS, ctx.core.synchrony.configuration.members, "s2")
    renewed(ctx, sessions, 0)
    assert sessions.agents["e1"].address == "@h:2"
    assert agent_sessions.survey_of(sessions, 0).count == 0


def test_a_replica_that_does_not_lead_tells_where_the_leader_is():
    clock = Clock()
    clock.advance(5)
    agent, places = known(clock, "s1", "s2")
    clock.advance(2 * LEASE_MS / 1000)
    new = endpoint_of("s3", port=9)
    assert lease_client.on_lease_reply(agent, places[1], LeaseReply(1000, 0, "s3", endpoints=(places[1], new)))
    sent(agent)
    clock.advance(1)
    lease_client.send_lease_requests(agent)
    assert "@h:9" in [to for to, _ in sent(agent)]


def test_the_grant_of_a_replica_that_does_not_lead_holds_the_places_of_the_members():
    clock = Clock()
    ctx, sessions = new_ring(clock)
    ctx.core.synchrony.configuration = Configuration(IDS, ctx.core.synchrony.configuration.members, "s2")
    assert {p.member.name for p in renewed(ctx, sessions, 0).endpoints} == {"s1", "s2", "s3"}
