"""Whom a replica wants in a configuration, and which proposals it refuses while it serves."""

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

PRIMARY, OUTSIDE = ConfigurationId(7, "s2", 1), ConfigurationId(9, "s1", 1)


def endpoint_of(name, incarnation=1):
    return Endpoint(Member(name, incarnation), "storage", "z", name, 1, 0)


def member(name, incarnation=1):
    return Member(name, incarnation)


def replica(name, members, others, serving=True):
    """A replica that hears `others`, all of which hear one another, in a primary of `members`."""
    synchrony, _ = create_synchrony(endpoint_of(name), Bounds(), (), (), DurableLog(), 10_000)
    everyone = frozenset(member(n) for n in (name, *others))
    for other in others:
        inside = other in members
        synchrony.peers[other] = Peer(
            endpoint_of(other),
            heard_ms=10_000,
            reachable=everyone,
            configuration=PRIMARY if inside else ConfigurationId(1, other, 1),
            promised=PRIMARY if inside else ConfigurationId(1, other, 1),
            serving=inside and serving,
            last_primary=PRIMARY if inside else ConfigurationId(0, "", 0),
        )
    if name in members:
        synchrony.configuration = Configuration(PRIMARY, tuple(member(n) for n in members), members[0])
        synchrony.promised = synchrony.log.primary = PRIMARY
        synchrony.primary.opened = serving
    return synchrony


def deaf(synchrony, here, there):
    """`here` doesn't hear `there`."""
    if here == synchrony.name:
        synchrony.peers[there].heard_ms = 0
    else:
        synchrony.peers[here].reachable -= {member(there)}


def wanted(synchrony):
    return [m.name for m in failure_detector.desired_members(synchrony)]


def propose(synchrony, proposer, members, epoch=9, incarnation=1):
    """-> the messages that the replica answers a proposal with."""
    out = Output()
    message = ProposeRequest(
        ConfigurationId(epoch, proposer, incarnation), tuple(member(n) for n in members), members[0]
    )
    membership.on_propose_request(synchrony, out, proposer, message)
    return [type(body) for _, body in out.sends]


def test_members_of_a_serving_primary_are_wanted_before_a_newcomer_with_a_lower_name():
    synchrony = replica("s2", ("s2", "s3", "s4"), ("s1", "s3", "s4"))
    deaf(synchrony, "s4", "s1")
    assert sorted(wanted(synchrony)) == ["s2", "s3", "s4"]


def test_a_newcomer_that_does_not_hear_all_of_the_primary_is_refused_by_the_others():
    newcomer = replica("s1", ("s2", "s3", "s4"), ("s2", "s3", "s4"))
    deaf(newcomer, "s1", "s4")
    assert sorted(wanted(newcomer)) == ["s1", "s2", "s3"]
    for name, others in (("s2", ("s1", "s3", "s4")), ("s3", ("s1", "s2", "s4"))):
        assert propose(replica(name, ("s2", "s3", "s4"), others), "s1", ("s1", "s2", "s3")) == [ProposeRejection]


def test_a_newcomer_that_all_hear_is_wanted_as_well():
    assert sorted(wanted(replica("s2", ("s2", "s3"), ("s1", "s3")))) == ["s1", "s2", "s3"]


def test_without_a_serving_primary_those_with_a_memory_come_first():
    synchrony = replica("s2", ("s2", "s3"), ("s1", "s3"), serving=False)
    deaf(synchrony, "s3", "s1")
    assert sorted(wanted(synchrony)) == ["s2", "s3"]


def test_the_newest_of_two_primaries_is_preferred():
    synchrony = replica("s3", ("s3", "s4"), ("s1", "s4"))
    synchrony.peers["s1"].serving, synchrony.peers["s1"].configuration = True, ConfigurationId(5, "s1", 1)
    deaf(synchrony, "s4", "s1")
    assert sorted(wanted(synchrony)) == ["s3", "s4"]


def test_an_outsiders_proposal_that_leaves_out_a_member_that_is_heard_is_refused():
    synchrony = replica("s2", ("s2", "s3", "s4"), ("s1", "s3", "s4"))
    assert propose(synchrony, "s1", ("s1", "s2", "s3")) == [ProposeRejection]
    assert synchrony.recovery is None and failure_detector.is_serving(synchrony)


def test_an_outsiders_proposal_that_holds_all_members_is_taken():
    synchrony = replica("s2", ("s2", "s3", "s4"), ("s1", "s3", "s4"))
    assert ProposeRejection not in propose(synchrony, "s1", ("s1", "s2", "s3", "s4"))
    assert synchrony.recovery is not None


@pytest.mark.parametrize("why", ["silent", "draining", "unhealthy", "deaf to another"])
def test_a_member_that_is_not_wanted_any_more_protects_nothing(why):
    synchrony = replica("s2", ("s2", "s3", "s4"), ("s1", "s3", "s4"))
    lost = synchrony.peers["s4"]
    if why == "silent":
        lost.heard_ms = synchrony.now_ms - synchrony.bounds.detect_ms
    elif why == "deaf to another":
        deaf(synchrony, "s4", "s3")
        deaf(synchrony, "s3", "s4")
    else:
        setattr(lost, why, True)
    assert ProposeRejection not in propose(synchrony, "s1", ("s1", "s2", "s3"))


def test_a_members_own_proposal_is_not_refused_since_the_primary_is_broken_already():
    synchrony = replica("s2", ("s2", "s3", "s4"), ("s3", "s4"))
    assert ProposeRejection not in propose(synchrony, "s3", ("s2", "s3"))


def test_a_member_that_runs_anew_is_an_outsider():
    synchrony = replica("s2", ("s2", "s3", "s4"), ("s3", "s4"))
    assert propose(synchrony, "s3", ("s2", "s3"), incarnation=2) == [ProposeRejection]


def test_a_replica_without_a_serving_primary_refuses_no_higher_proposal():
    synchrony = replica("s2", ("s2", "s3", "s4"), ("s1", "s3", "s4"), serving=False)
    assert ProposeRejection not in propose(synchrony, "s1", ("s1", "s2", "s3"))


def beat_of(synchrony):
    out = Output()
    failure_detector.send_heartbeats(synchrony, out)
    return next(body for _, body in out.sends)


def test_heartbeats_tell_whether_a_primary_is_served_and_the_last_one():
    serving = beat_of(replica("s2", ("s2", "s3"), ("s3",)))
    assert (serving.serving, serving.last_primary) == (True, PRIMARY)
    broken = replica("s2", ("s2", "s3"), ("s3",))
    propose(broken, "s3", ("s2", "s3"))
    assert not beat_of(broken).serving


def test_a_replica_tells_at_once_whom_it_no_longer_hears_and_proposes_later():
    synchrony = replica("s2", ("s2", "s3", "s4"), ("s3", "s4"))
    synchrony.desired_members = failure_detector.desired_members(synchrony)
    synchrony.heartbeat_ms = synchrony.now_ms
    quiet = synchrony.now_ms + synchrony.bounds.detect_ms // 5
    for peer in synchrony.peers.values():
        peer.heard_ms = quiet
    synchrony.peers["s4"].heard_ms = synchrony.now_ms - synchrony.bounds.detect_ms + 20
    sent = []
    for now_ms in range(10_020, 10_070, 20):
        synchrony, out = step(synchrony, TimerTick(now_ms))
        sent += [(now_ms, type(body), body) for to, body in out.sends if to == "s3"]
    beats = [body for _, kind, body in sent if kind is Heartbeat]
    assert beats and member("s4") not in beats[0].reachable
    assert not any(kind is ProposeRequest for _, kind, _ in sent)


def test_heartbeats_of_the_version_before_are_read():
    from msgspec import msgpack

    old = msgpack.encode([1, [7, "s2", 1], [7, "s2", 1], [], 5, 4, False, True, 3, {}])
    beat = msgpack.decode(old, type=Heartbeat)
    assert (beat.serving, beat.last_primary) == (False, ConfigurationId(0, "", 0))


def test_heard_heartbeats_are_kept_of_a_peer():
    synchrony = replica("s2", ("s2", "s3"), ("s1", "s3"))
    beat = Heartbeat(PRIMARY, PRIMARY, (), 1, 1, False, True, 3, {}, True, PRIMARY)
    step(synchrony, MessageReceived(10_010, endpoint_of("s1"), beat))
    assert (synchrony.peers["s1"].serving, synchrony.peers["s1"].last_primary) == (True, PRIMARY)
