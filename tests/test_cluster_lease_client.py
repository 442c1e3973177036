from types import SimpleNamespace

from twisted.internet.task import Clock

from frostpost.cluster import agent as agents
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
CONFIGURATION = ConfigurationId(3, "s1", 1)


def endpoint_of(name, role="storage", port=1, incarnation=1):
    return Endpoint(Member(name, incarnation), role, "z", "h", port, 0)


def new_agent(clock, name="e1", seeds=("h:9",)):
    settings = DaemonSettings(name, "edge", "z", "h", 2, seeds=seeds, lease_ms=LEASE_MS)
    agent = AgentContext(settings, clock, endpoint_of(name, "edge", 2), Machine(seconds=clock.seconds))
    agent.links["send"] = lambda to, body: agent.attachments.setdefault("sent", []).append((to, body))
    agent.attachments["routing_from_body"] = lambda body: body.decode()
    lease_client.session_of(agent)
    return agent


def sent(agent):
    return agent.attachments.pop("sent", [])


def new_sequencer(clock, granted_ms=0, voters=("s1", "s2", "s3")):
    """Returns the context and sessions of a sequencer whose own lease runs from granted_ms."""
    members = tuple(Member(v, 1) for v in voters)
    synchrony = Synchrony(
        endpoint_of("s1"),
        Bounds(lease_ms=LEASE_MS),
        (),
        voters,
        True,
        None,
        Configuration(CONFIGURATION, members, "s1"),
        CONFIGURATION,
        voters=voters,
    )
    synchrony.primary.opened, synchrony.applied = True, 5
    synchrony.peers = {v: Peer(endpoint_of(v), granted_ms=granted_ms) for v in voters[1:]}
    core = SimpleNamespace(synchrony=synchrony, ledger=Ledger())
    ctx = SimpleNamespace(core=core, machine=Machine(seconds=clock.seconds), links={}, out=[])
    ctx.links["send"] = lambda to, body: ctx.out.append((to, body))
    return ctx, agent_sessions.AgentSessions()


def apply_routing(ctx, sessions, version):
    ctx.core.ledger.program_ledger.routing_version = version
    ctx.core.ledger.program_ledger.routing_body = b"v%d" % version
    agent_sessions.announce_routing(ctx, sessions)


def renew_sequencer_lease(ctx, clock):
    for peer in ctx.core.synchrony.peers.values():
        peer.granted_ms = int(clock.seconds() * 1000)


def renew(ctx, sessions, version, sent_ms=0, name="e1", incarnation=1):
    return agent_sessions.on_lease_request(
        ctx, sessions, endpoint_of(name, "edge", 2, incarnation), LeaseRequest(sent_ms, version)
    )


def test_a_lease_counts_from_the_agents_send_time_and_ends_with_the_grant():
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


def test_an_agent_holds_no_lease_without_a_grant_or_with_an_empty_one():
    agent = new_agent(Clock())
    assert not lease_client.holds_lease(agent)
    assert (
        lease_client.on_lease_reply(agent, endpoint_of("s2"), LeaseReply(0, 0, "s1"))
        and agent.session.sequencer == "s1"
    )
    assert not lease_client.holds_lease(agent)


def test_an_empty_grant_neither_ends_a_running_lease_nor_changes_the_sequencer():
    agent = new_agent(Clock())
    lease_client.on_lease_reply(agent, endpoint_of("s1"), LeaseReply(0, 1000, "s1"))
    assert not lease_client.on_lease_reply(agent, endpoint_of("s2"), LeaseReply(0, 0, "s2"))
    assert lease_client.holds_lease(agent) and agent.session.sequencer == "s1"


def test_a_granted_lease_never_outlives_the_sequencers_own():
    clock = Clock()
    clock.advance(1.0)
    ctx, sessions = new_sequencer(clock, granted_ms=300)
    assert renew(ctx, sessions, 0, 990).lease_ms == 500
    assert sessions.agents["e1"].until_ms == 1500
    clock.advance(0.5)
    assert renew(ctx, sessions, 0, 1490).lease_ms == 0


def test_no_lease_is_granted_by_a_follower_or_without_a_majority():
    clock = Clock()
    ctx, sessions = new_sequencer(clock)
    ctx.core.synchrony.configuration = Configuration(CONFIGURATION, ctx.core.synchrony.configuration.members, "s2")
    granted = renew(ctx, sessions, 0)
    assert granted == LeaseReply(0, 0, "s2", endpoints=granted.endpoints)
    assert [(agent_session.address, agent_session.until_ms < 0) for agent_session in sessions.agents.values()] == [
        ("@h:2", True)
    ]
    ctx, sessions = new_sequencer(clock, granted_ms=-LEASE_MS)
    assert renew(ctx, sessions, 0).lease_ms == 0


def test_an_agent_on_an_older_routing_is_sent_the_new_one_and_then_refused_a_lease():
    clock = Clock()
    clock.advance(10)
    ctx, sessions = new_sequencer(clock, 10000)
    renew(ctx, sessions, 0)
    apply_routing(ctx, sessions, 1)
    assert ctx.out == [("@h:2", RoutingUpdate(1, b"v1"))]
    clock.advance(LEASE_MS / 2000 + 0.001)
    renew_sequencer_lease(ctx, clock)
    agent = new_agent(clock)
    lease_client.on_lease_reply(agent, endpoint_of("s1"), renew(ctx, sessions, 0, int(clock.seconds() * 1000)))
    assert not lease_client.holds_lease(agent)
    assert renew(ctx, sessions, 1, 0).lease_ms == LEASE_MS


def test_the_honoured_version_waits_for_running_leases_only():
    clock = Clock()
    clock.advance(10)
    ctx, sessions = new_sequencer(clock, 10000)
    for name in ("e1", "e2"):
        renew(ctx, sessions, 0, name=name)
    apply_routing(ctx, sessions, 1)
    assert agent_sessions.honoured_version(ctx, sessions) == 0
    assert renew(ctx, sessions, 1).honoured == 0
    clock.advance(LEASE_MS / 1000 - 0.001)
    assert agent_sessions.honoured_version(ctx, sessions) == 0
    clock.advance(0.001)
    assert agent_sessions.honoured_version(ctx, sessions) == 1


def test_the_honoured_version_waits_for_the_leases_of_an_earlier_sequencer_to_end():
    clock = Clock()
    clock.advance(10)
    ctx, sessions = new_sequencer(clock, 10000)
    apply_routing(ctx, sessions, 1)
    ctx.core.synchrony.installed_ms = 10000
    clock.advance(LEASE_MS / 1000 - 0.001)
    assert agent_sessions.honoured_version(ctx, sessions) == 0
    clock.advance(0.001)
    assert agent_sessions.honoured_version(ctx, sessions) == 1


def test_no_lease_is_granted_on_a_routing_older_than_the_honoured_version():
    clock = Clock()
    clock.advance(10)
    ctx, sessions = new_sequencer(clock, 10000)
    renew(ctx, sessions, 0, name="e1")
    apply_routing(ctx, sessions, 1)
    assert renew(ctx, sessions, 1, name="e1").honoured == 1
    clock.advance(0.05)
    renew_sequencer_lease(ctx, clock)
    assert renew(ctx, sessions, 0, name="started-before").lease_ms <= 1


def test_a_restarted_agent_counts_by_its_new_incarnation():
    clock = Clock()
    clock.advance(10)
    ctx, sessions = new_sequencer(clock, 10000)
    apply_routing(ctx, sessions, 1)
    renew(ctx, sessions, 1)
    assert renew(ctx, sessions, 0, incarnation=2).lease_ms == 0
    assert agent_sessions.honoured_version(ctx, sessions) == 1
    assert renew(ctx, sessions, 1, incarnation=2).lease_ms > 0


def test_a_newer_routing_is_applied_once_and_reported_to_the_sequencer_at_once():
    clock = Clock()
    agent = new_agent(clock)
    lease_client.on_lease_reply(
        agent, endpoint_of("s1", port=7), LeaseReply(0, 900, "s1", version=2, endpoints=(endpoint_of("s1", port=7),))
    )
    assert sent(agent) == [("@h:7", RoutingRequest(0))]
    for version in (2, 2, 1):
        lease_client.on_routing_update(agent, RoutingUpdate(version, b"v%d" % version))
    assert sent(agent) == [("@h:7", LeaseRequest(0, 2, 0))] and agent.routing == "v2" and agent.counts["routings"] == 1


def test_an_agent_without_replies_sends_requests_to_all_replicas_and_seeds():
    clock = Clock()
    agent = new_agent(clock)
    lease_client.on_directory(agent, [endpoint_of("s1", port=7), endpoint_of("s2", port=8), endpoint_of("e9", "edge")])
    lease_client.on_lease_reply(agent, endpoint_of("s1", port=7), LeaseReply(0, 900, "s1"))
    sent(agent)
    clock.advance(0.24)
    lease_client.renew_if_due(agent)
    assert [to for to, _ in sent(agent)] == ["@h:7"]
    clock.advance(0.9)
    agents.run_due_work(agent)
    assert [(to, type(body)) for to, body in sent(agent)] == [
        ("@h:7", LeaseRequest),
        ("@h:8", LeaseRequest),
        ("@h:9", DirectoryRequest),
    ]


def agent_with_lease(clock, *names):
    """Returns an agent that holds a lease of s1, and the endpoints of the replicas."""
    agent = new_agent(clock)
    endpoints = tuple(endpoint_of(name, port=number) for number, name in enumerate(names, 7))
    lease_client.on_lease_reply(
        agent, endpoints[0], LeaseReply(int(clock.seconds() * 1000), 1000, "s1", epoch=4, endpoints=endpoints)
    )
    sent(agent)
    return agent, endpoints


def test_an_empty_grant_of_the_leader_starts_a_search_of_all_replicas_at_once():
    clock = Clock()
    clock.advance(1)
    agent, endpoints = agent_with_lease(clock, "s1", "s2", "s3")
    clock.advance(LEASE_MS / 5000)
    lease_client.on_lease_reply(agent, endpoints[0], LeaseReply(1000, 0, "s1", epoch=4))
    assert [(to, type(body)) for to, body in sent(agent)] == [
        ("@h:7", LeaseRequest),
        ("@h:8", LeaseRequest),
        ("@h:9", LeaseRequest),
    ]
    assert lease_client.holds_lease(agent)


def test_requests_after_empty_grants_are_sent_at_the_search_interval():
    clock = Clock()
    clock.advance(1)
    agent, endpoints = agent_with_lease(clock, "s1", "s2")
    for _ in range(24):
        clock.advance(0.02)
        lease_client.on_lease_reply(agent, endpoints[0], LeaseReply(1000, 0, "s1", epoch=4))
        agents.run_due_work(agent)
    addresses = [to for to, body in sent(agent) if isinstance(body, LeaseRequest)]
    assert LEASE_MS * 0.4 / (LEASE_MS / lease_client.SEARCHES_PER_LEASE) - 2 <= addresses.count("@h:8") <= 9


def test_an_empty_grant_for_an_older_routing_starts_no_search():
    clock = Clock()
    clock.advance(1)
    agent, endpoints = agent_with_lease(clock, "s1", "s2", "s3")
    clock.advance(LEASE_MS / 5000)
    lease_client.on_lease_reply(agent, endpoints[0], LeaseReply(1240, 0, "s1", version=3, epoch=4))
    assert sent(agent) == [("@h:7", RoutingRequest(0))]


def test_a_replica_that_announces_itself_is_sent_a_request_during_a_running_lease():
    clock = Clock()
    clock.advance(1)
    agent, endpoints = agent_with_lease(clock, "s1", "s2", "s3")
    agents.on_frame(agent, Frame(1, endpoints[1], "", DirectoryReply(endpoints)))
    assert [(to, type(body)) for to, body in sent(agent)] == [("@h:8", LeaseRequest)]
    agents.on_frame(agent, Frame(1, endpoints[0], "", DirectoryReply(endpoints)))
    assert sent(agent) == []


def test_a_grant_of_an_older_configuration_is_ignored():
    clock = Clock()
    clock.advance(1)
    agent, endpoints = agent_with_lease(clock, "s1", "s2")
    assert lease_client.on_lease_reply(agent, endpoints[1], LeaseReply(1000, 600, "s2", epoch=5, endpoints=endpoints))
    assert not lease_client.on_lease_reply(agent, endpoints[0], LeaseReply(1000, 1200, "s1", epoch=4))
    assert agent.session.sequencer == "s2" and agent.session.until_ms == 2000


def test_a_redirect_of_the_former_leader_leads_to_the_named_leader_or_a_search():
    clock = Clock()
    clock.advance(1)
    agent, endpoints = agent_with_lease(clock, "s1", "s2", "s3")
    assert lease_client.on_lease_reply(agent, endpoints[0], LeaseReply(1000, 0, "s2"))
    assert agent.session.sequencer == "s2" and lease_client.holds_lease(agent)
    clock.advance(LEASE_MS / 5000)
    assert not lease_client.on_lease_reply(agent, endpoints[1], LeaseReply(1000, 0, ""))
    assert [to for to, _ in sent(agent)] == ["@h:7", "@h:8", "@h:9"]


def test_a_redirect_of_another_replica_is_ignored_during_a_running_lease():
    clock = Clock()
    clock.advance(1)
    agent, endpoints = agent_with_lease(clock, "s1", "s2", "s3")
    assert not lease_client.on_lease_reply(agent, endpoints[1], LeaseReply(1000, 0, "s3"))
    assert agent.session.sequencer == "s1" and sent(agent) == []


def test_an_agent_sends_a_request_to_replicas_new_to_it():
    clock = Clock()
    clock.advance(1)
    agent, endpoints = agent_with_lease(clock, "s1", "s2", "s3")
    restarted = (endpoints[0], endpoint_of("s2", port=8, incarnation=2), endpoints[2])
    lease_client.on_lease_reply(agent, endpoints[0], LeaseReply(1000, 1000, "s1", epoch=5, endpoints=restarted))
    assert [(to, type(body)) for to, body in sent(agent)] == [("@h:8", LeaseRequest)]


def test_one_renewal_in_many_is_broadcast_to_all_replicas():
    clock = Clock()
    clock.advance(1)
    agent, endpoints = agent_with_lease(clock, "s1", "s2", "s3")
    for _ in range(2 * lease_client.BROADCAST_EVERY):
        lease_client.on_lease_reply(agent, endpoints[0], LeaseReply(int(clock.seconds() * 1000), 1000, "s1", epoch=4))
        lease_client.send_lease_requests(agent)
    assert [to for to, _ in sent(agent)].count("@h:8") == 2


def test_a_follower_records_the_agents_that_sent_it_requests():
    clock = Clock()
    ctx, sessions = new_sequencer(clock)
    ctx.core.synchrony.configuration = Configuration(CONFIGURATION, ctx.core.synchrony.configuration.members, "s2")
    renew(ctx, sessions, 0)
    assert sessions.agents["e1"].address == "@h:2"
    assert agent_sessions.lease_summary(sessions, 0).agent_count == 0


def test_a_followers_reply_carries_the_endpoint_of_the_leader():
    clock = Clock()
    clock.advance(5)
    agent, endpoints = agent_with_lease(clock, "s1", "s2")
    clock.advance(2 * LEASE_MS / 1000)
    new = endpoint_of("s3", port=9)
    assert lease_client.on_lease_reply(agent, endpoints[1], LeaseReply(1000, 0, "s3", endpoints=(endpoints[1], new)))
    sent(agent)
    clock.advance(1)
    lease_client.send_lease_requests(agent)
    assert "@h:9" in [to for to, _ in sent(agent)]


def test_a_followers_reply_carries_the_endpoints_of_the_members():
    clock = Clock()
    ctx, sessions = new_sequencer(clock)
    ctx.core.synchrony.configuration = Configuration(CONFIGURATION, ctx.core.synchrony.configuration.members, "s2")
    assert {p.member.name for p in renew(ctx, sessions, 0).endpoints} == {"s1", "s2", "s3"}
