from types import SimpleNamespace

from twisted.internet.task import Clock

from frostpost.cluster import leaf as assembly
from frostpost.cluster import lease, serving
from frostpost.cluster.context import Leaf
from frostpost.cluster.settings import DaemonSettings
from frostpost.daemon.machine import Machine
from frostpost.ledger.state import Ledger
from frostpost.virtual_synchrony.outer import Grant, Hello, Renew, RoutingAsk, RoutingTell
from frostpost.virtual_synchrony.state import Bounds, Peer, Synchrony
from frostpost.virtual_synchrony.words import Configuration, ConfigurationId, Member, Place

LEASE_MS = 1200
IDS = ConfigurationId(3, "s1", 1)


def place_of(name, role="storage", port=1, boot=1):
    return Place(Member(name, boot), role, "z", "h", port, 0)


def new_leaf(clock, name="e1", seeds=("h:9",)):
    settings = DaemonSettings(name, "edge", "z", "h", 2, seeds=seeds, lease_ms=LEASE_MS)
    leaf = Leaf(settings, clock, place_of(name, "edge", 2), Machine(seconds=clock.seconds))
    leaf.links["send"] = lambda to, body: leaf.extras.setdefault("sent", []).append((to, body))
    leaf.extras["routing_from_body"] = lambda body: body.decode()
    lease.session(leaf)
    return leaf


def sent(leaf):
    return leaf.extras.pop("sent", [])


def new_ring(clock, granted_ms=0, voters=("s1", "s2", "s3")):
    """A sequencer whose own lease runs from granted_ms."""
    members = tuple(Member(v, 1) for v in voters)
    synchrony = Synchrony(
        place_of("s1"),
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
    synchrony.peers = {v: Peer(place_of(v), granted_ms=granted_ms) for v in voters[1:]}
    core = SimpleNamespace(synchrony=synchrony, ledger=Ledger())
    ctx = SimpleNamespace(core=core, machine=Machine(seconds=clock.seconds), links={}, out=[])
    ctx.links["send"] = lambda to, body: ctx.out.append((to, body))
    return ctx, serving.Sessions()


def route(ctx, sessions, version):
    ctx.core.ledger.program_ledger.routing_version = version
    ctx.core.ledger.program_ledger.routing_body = b"v%d" % version
    serving.follow(ctx, sessions)


def fresh(ctx, clock):
    for peer in ctx.core.synchrony.peers.values():
        peer.granted_ms = int(clock.seconds() * 1000)


def renewed(ctx, sessions, version, sent_ms=0, name="e1", boot=1):
    return serving.renewed(ctx, sessions, place_of(name, "edge", 2, boot), Renew(sent_ms, version))


def test_lease_counts_from_the_leafs_send_time_and_ends_with_the_grant():
    clock = Clock()
    leaf = new_leaf(clock)
    clock.advance(0.9)
    assert lease.granted(leaf, place_of("s1"), Grant(100, 1000, "s1"))
    clock.advance(0.19)
    assert lease.lease_ok(leaf)
    clock.advance(0.02)
    assert not lease.lease_ok(leaf)
    lease.granted(leaf, place_of("s1"), Grant(50, 1000, "s1"))
    assert not lease.lease_ok(leaf)


def test_leaf_without_a_grant_or_with_an_empty_one_is_not_ok():
    leaf = new_leaf(Clock())
    assert not lease.lease_ok(leaf)
    assert lease.granted(leaf, place_of("s2"), Grant(0, 0, "s1")) and leaf.session.sequencer == "s1"
    assert not lease.lease_ok(leaf)


def test_empty_grant_takes_no_running_lease_away_and_changes_no_sequencer():
    leaf = new_leaf(Clock())
    lease.granted(leaf, place_of("s1"), Grant(0, 1000, "s1"))
    assert not lease.granted(leaf, place_of("s2"), Grant(0, 0, "s2"))
    assert lease.lease_ok(leaf) and leaf.session.sequencer == "s1"


def test_granted_lease_never_outlives_the_sequencers_own():
    clock = Clock()
    clock.advance(1.0)
    ctx, sessions = new_ring(clock, granted_ms=300)
    assert renewed(ctx, sessions, 0, 990).lease_ms == 500
    assert sessions.leaves["e1"].until_ms == 1500
    clock.advance(0.5)
    assert renewed(ctx, sessions, 0, 1490).lease_ms == 0


def test_no_grant_from_one_that_does_not_sequence_or_has_no_majority():
    clock = Clock()
    ctx, sessions = new_ring(clock)
    ctx.core.synchrony.configuration = Configuration(IDS, ctx.core.synchrony.configuration.members, "s2")
    assert renewed(ctx, sessions, 0) == Grant(0, 0, "s2") and not sessions.leaves
    ctx, sessions = new_ring(clock, granted_ms=-LEASE_MS)
    assert renewed(ctx, sessions, 0).lease_ms == 0


def test_leaf_behind_is_told_the_routing_and_then_gets_no_lease():
    clock = Clock()
    clock.advance(10)
    ctx, sessions = new_ring(clock, 10000)
    renewed(ctx, sessions, 0)
    route(ctx, sessions, 1)
    assert ctx.out == [("@h:2", RoutingTell(1, b"v1"))]
    clock.advance(LEASE_MS / 2000 + 0.001)
    fresh(ctx, clock)
    leaf = new_leaf(clock)
    lease.granted(leaf, place_of("s1"), renewed(ctx, sessions, 0, int(clock.seconds() * 1000)))
    assert not lease.lease_ok(leaf)
    assert renewed(ctx, sessions, 1, 0).lease_ms == LEASE_MS


def test_honoured_waits_for_every_running_lease_and_not_for_a_lapsed_one():
    clock = Clock()
    clock.advance(10)
    ctx, sessions = new_ring(clock, 10000)
    for name in ("e1", "e2"):
        renewed(ctx, sessions, 0, name=name)
    route(ctx, sessions, 1)
    assert serving.honoured(ctx, sessions) == 0
    assert renewed(ctx, sessions, 1).honoured == 0
    clock.advance(LEASE_MS / 1000 - 0.001)
    assert serving.honoured(ctx, sessions) == 0
    clock.advance(0.001)
    assert serving.honoured(ctx, sessions) == 1


def test_honoured_waits_out_the_leases_of_an_older_sequencer():
    clock = Clock()
    clock.advance(10)
    ctx, sessions = new_ring(clock, 10000)
    route(ctx, sessions, 1)
    ctx.core.synchrony.installed_ms = 10000
    clock.advance(LEASE_MS / 1000 - 0.001)
    assert serving.honoured(ctx, sessions) == 0
    clock.advance(0.001)
    assert serving.honoured(ctx, sessions) == 1


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
    assert renewed(ctx, sessions, 0, boot=2).lease_ms == 0
    assert serving.honoured(ctx, sessions) == 1
    assert renewed(ctx, sessions, 1, boot=2).lease_ms > 0


def test_leaf_takes_a_newer_routing_once_and_tells_the_sequencer_at_once():
    clock = Clock()
    leaf = new_leaf(clock)
    lease.granted(leaf, place_of("s1", port=7), Grant(0, 900, "s1", version=2, places=(place_of("s1", port=7),)))
    assert sent(leaf) == [("@h:7", RoutingAsk(0))]
    for version in (2, 2, 1):
        lease.routed(leaf, RoutingTell(version, b"v%d" % version))
    assert sent(leaf) == [("@h:7", Renew(0, 2, 0))] and leaf.routing == "v2" and leaf.counts["routings"] == 1


def test_leaf_that_hears_nothing_asks_every_daemon_and_the_seeds():
    clock = Clock()
    leaf = new_leaf(clock)
    lease.directed(leaf, [place_of("s1", port=7), place_of("s2", port=8), place_of("e9", "edge")])
    lease.granted(leaf, place_of("s1", port=7), Grant(0, 900, "s1"))
    sent(leaf)
    clock.advance(0.24)
    lease.tend(leaf)
    assert [to for to, _ in sent(leaf)] == ["@h:7"]
    clock.advance(0.9)
    assembly.tend(leaf)
    assert [(to, type(body)) for to, body in sent(leaf)] == [("@h:7", Renew), ("@h:8", Renew), ("@h:9", Hello)]
