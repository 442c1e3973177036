"""Desired members of a configuration, and proposals that a replica rejects while its primary serves."""

import pytest

from frostpost.virtual_synchrony import failure_detector, membership
from frostpost.virtual_synchrony.bounds import Bounds
from frostpost.virtual_synchrony.configuration import Configuration, ConfigurationId
from frostpost.virtual_synchrony.durable_log import DurableLog
from frostpost.virtual_synchrony.endpoints import Endpoint, Member
from frostpost.virtual_synchrony.events import MessageReceived, Output, TimerTick
from frostpost.virtual_synchrony.messages import Heartbeat, ProposeRejection, ProposeRequest
from frostpost.virtual_synchrony.state import Peer, create_synchrony
from frostpost.virtual_synchrony.step import step

PRIMARY, OUTSIDER = ConfigurationId(7, "s2", 1), ConfigurationId(9, "s1", 1)


def endpoint_of(name, incarnation=1):
    return Endpoint(Member(name, incarnation), "storage", "z", name, 1, 0)


def member(name, incarnation=1):
    return Member(name, incarnation)


def replica(name, members, others, serving=True):
    """A replica that receives heartbeats from `others`, which all reach each other, in a primary of `members`."""
    synchrony, _ = create_synchrony(endpoint_of(name), Bounds(), (), (), DurableLog(), 10_000)
    all_members = frozenset(member(n) for n in (name, *others))
    for other in others:
        in_primary = other in members
        synchrony.peers[other] = Peer(
            endpoint_of(other),
            heard_ms=10_000,
            reachable=all_members,
            configuration=PRIMARY if in_primary else ConfigurationId(1, other, 1),
            promised=PRIMARY if in_primary else ConfigurationId(1, other, 1),
            serving=in_primary and serving,
            last_primary=PRIMARY if in_primary else ConfigurationId(0, "", 0),
        )
    if name in members:
        synchrony.configuration = Configuration(PRIMARY, tuple(member(n) for n in members), members[0])
        synchrony.promised = synchrony.log.primary = PRIMARY
        synchrony.primary.opened = serving
    return synchrony


def disconnect(synchrony, receiver, sender):
    """Make `receiver` no longer receive heartbeats from `sender`."""
    if receiver == synchrony.name:
        synchrony.peers[sender].heard_ms = 0
    else:
        synchrony.peers[receiver].reachable -= {member(sender)}


def desired_names(synchrony):
    return [m.name for m in failure_detector.desired_members(synchrony)]


def propose(synchrony, proposer, members, epoch=9, incarnation=1):
    """Return the types of the messages with which the replica replies to a proposal."""
    out = Output()
    message = ProposeRequest(
        ConfigurationId(epoch, proposer, incarnation), tuple(member(n) for n in members), members[0]
    )
    membership.on_propose_request(synchrony, out, proposer, message)
    return [type(body) for _, body in out.sends]


def test_members_of_a_serving_primary_are_preferred_to_a_new_member_with_a_lower_name():
    synchrony = replica("s2", ("s2", "s3", "s4"), ("s1", "s3", "s4"))
    disconnect(synchrony, "s4", "s1")
    assert sorted(desired_names(synchrony)) == ["s2", "s3", "s4"]


def test_proposal_by_a_new_member_that_cannot_reach_the_whole_primary_is_rejected():
    newcomer = replica("s1", ("s2", "s3", "s4"), ("s2", "s3", "s4"))
    disconnect(newcomer, "s1", "s4")
    assert sorted(desired_names(newcomer)) == ["s1", "s2", "s3"]
    for name, others in (("s2", ("s1", "s3", "s4")), ("s3", ("s1", "s2", "s4"))):
        assert propose(replica(name, ("s2", "s3", "s4"), others), "s1", ("s1", "s2", "s3")) == [ProposeRejection]


def test_new_member_reachable_by_all_is_desired():
    assert sorted(desired_names(replica("s2", ("s2", "s3"), ("s1", "s3")))) == ["s1", "s2", "s3"]


def test_without_a_serving_primary_members_of_the_last_primary_are_preferred():
    synchrony = replica("s2", ("s2", "s3"), ("s1", "s3"), serving=False)
    disconnect(synchrony, "s3", "s1")
    assert sorted(desired_names(synchrony)) == ["s2", "s3"]


def test_members_of_the_newest_of_two_primaries_are_preferred():
    synchrony = replica("s3", ("s3", "s4"), ("s1", "s4"))
    synchrony.peers["s1"].serving, synchrony.peers["s1"].configuration = True, ConfigurationId(5, "s1", 1)
    disconnect(synchrony, "s4", "s1")
    assert sorted(desired_names(synchrony)) == ["s3", "s4"]


def test_outsiders_proposal_without_a_reachable_member_is_rejected():
    synchrony = replica("s2", ("s2", "s3", "s4"), ("s1", "s3", "s4"))
    assert propose(synchrony, "s1", ("s1", "s2", "s3")) == [ProposeRejection]
    assert synchrony.recovery is None and failure_detector.is_serving(synchrony)


def test_outsiders_proposal_with_all_members_is_accepted():
    synchrony = replica("s2", ("s2", "s3", "s4"), ("s1", "s3", "s4"))
    assert ProposeRejection not in propose(synchrony, "s1", ("s1", "s2", "s3", "s4"))
    assert synchrony.recovery is not None


@pytest.mark.parametrize("reason", ["silent", "draining", "unhealthy", "unreachable from another member"])
def test_member_that_is_no_longer_desired_does_not_block_a_proposal(reason):
    synchrony = replica("s2", ("s2", "s3", "s4"), ("s1", "s3", "s4"))
    peer = synchrony.peers["s4"]
    if reason == "silent":
        peer.heard_ms = synchrony.now_ms - synchrony.bounds.detect_ms
    elif reason == "unreachable from another member":
        disconnect(synchrony, "s4", "s3")
        disconnect(synchrony, "s3", "s4")
    else:
        setattr(peer, reason, True)
    assert ProposeRejection not in propose(synchrony, "s1", ("s1", "s2", "s3"))


def test_members_proposal_is_accepted_since_its_proposer_has_left_the_primary():
    synchrony = replica("s2", ("s2", "s3", "s4"), ("s3", "s4"))
    assert ProposeRejection not in propose(synchrony, "s3", ("s2", "s3"))


def test_restarted_member_is_an_outsider():
    synchrony = replica("s2", ("s2", "s3", "s4"), ("s3", "s4"))
    assert propose(synchrony, "s3", ("s2", "s3"), incarnation=2) == [ProposeRejection]


def test_replica_without_a_serving_primary_accepts_a_proposal_of_a_higher_epoch():
    synchrony = replica("s2", ("s2", "s3", "s4"), ("s1", "s3", "s4"), serving=False)
    assert ProposeRejection not in propose(synchrony, "s1", ("s1", "s2", "s3"))


def heartbeat_of(synchrony):
    out = Output()
    failure_detector.send_heartbeats(synchrony, out)
    return next(body for _, body in out.sends)


def test_heartbeat_contains_serving_state_and_last_primary():
    serving = heartbeat_of(replica("s2", ("s2", "s3"), ("s3",)))
    assert (serving.serving, serving.last_primary) == (True, PRIMARY)
    broken = replica("s2", ("s2", "s3"), ("s3",))
    propose(broken, "s3", ("s2", "s3"))
    assert not heartbeat_of(broken).serving


def test_lost_peer_is_reported_in_a_heartbeat_before_a_proposal():
    synchrony = replica("s2", ("s2", "s3", "s4"), ("s3", "s4"))
    synchrony.desired_members = failure_detector.desired_members(synchrony)
    synchrony.heartbeat_ms = synchrony.now_ms
    heard_ms = synchrony.now_ms + synchrony.bounds.detect_ms // 5
    for peer in synchrony.peers.values():
        peer.heard_ms = heard_ms
    synchrony.peers["s4"].heard_ms = synchrony.now_ms - synchrony.bounds.detect_ms + 20
    sent = []
    for now_ms in range(10_020, 10_070, 20):
        synchrony, out = step(synchrony, TimerTick(now_ms))
        sent += [(now_ms, type(body), body) for to, body in out.sends if to == "s3"]
    heartbeats = [body for _, kind, body in sent if kind is Heartbeat]
    assert heartbeats and member("s4") not in heartbeats[0].reachable
    assert not any(kind is ProposeRequest for _, kind, _ in sent)


def test_heartbeat_of_the_previous_version_is_decoded():
    from msgspec import msgpack

    encoded = msgpack.encode([1, [7, "s2", 1], [7, "s2", 1], [], 5, 4, False, True, 3, {}])
    heartbeat = msgpack.decode(encoded, type=Heartbeat)
    assert (heartbeat.serving, heartbeat.last_primary) == (False, ConfigurationId(0, "", 0))


def test_heartbeat_updates_the_state_of_its_peer():
    synchrony = replica("s2", ("s2", "s3"), ("s1", "s3"))
    heartbeat = Heartbeat(PRIMARY, PRIMARY, (), 1, 1, False, True, 3, {}, True, PRIMARY)
    step(synchrony, MessageReceived(10_010, endpoint_of("s1"), heartbeat))
    assert (synchrony.peers["s1"].serving, synchrony.peers["s1"].last_primary) == (True, PRIMARY)
