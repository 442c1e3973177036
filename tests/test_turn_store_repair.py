"""Repair under a clock with links and disks that take their time: how fast, how much at once, and what it reports."""

from collections import Counter

import pytest
from test_turn_store_drive import machine_of
from test_turn_store_serving import Net, hold
from twisted.internet.defer import Deferred

from frostpost.turn_store import repair, store
from frostpost.virtual_synchrony.agent_messages import GetBodiesReply, GetBodiesRequest

ROUND_MS = 200
LINK_MS, SYNC_MS, LINK_BYTES_MS = 2.0, 4.0, 75_000
BODY = b"b" * 3000
SITE_TURNS, SITE_CATCH_UP_MS = 66 * 110, 4000
GROWN_TURNS, GROWN_CATCH_UP_MS = 66 * 320, 6000


class SlowDisk:
    """Runs each job of a thread after the time that a sync takes."""

    def __init__(self, clock):
        self.clock = clock

    def run(self, call, *args):
        done = Deferred()
        self.clock.callLater(SYNC_MS / 1000, lambda: done.callback(call(*args)))
        return done


class SlowNet(Net):
    """Messages take the link's delay, and its bandwidth by their bodies."""

    def __init__(self, count):
        super().__init__(count)
        self.in_flight, self.most_in_flight = Counter(), 0
        for replica in self.replicas.values():
            replica.machine = machine_of(self.clock, SlowDisk(self.clock))

    def slow_disks(self):
        for replica in self.replicas.values():
            replica.turn_store.machine = replica.machine

    def deliver(self, frm, to, body):
        size = sum(len(data) for _, data in body.items) if isinstance(body, GetBodiesReply) else 0
        if isinstance(body, GetBodiesRequest):
            self.in_flight[to] = len(body.turns) * len(BODY)
        wait_ms = LINK_MS + size / LINK_BYTES_MS
        self.clock.callLater(wait_ms / 1000, self.arrive, frm, to, body)

    def arrive(self, frm, to, body):
        if isinstance(body, GetBodiesReply):
            self.in_flight[frm] = 0
        super().deliver(frm, to, body)

    def repair_until_whole(self, address, live, most_ms):
        """-> ms until nothing is reported missing."""
        peers = [p for p in self.replicas if p != address]
        for at_ms in range(0, most_ms, 1):
            if at_ms % ROUND_MS == 0:
                repair.repair(self.replicas[address], live, peers, at_ms)
                if at_ms and self.replicas[address].turn_store.missing == 0:
                    return at_ms
            self.clock.advance(0.001)
            queued = self.replicas[address].turn_store.queued_bytes
            self.most_in_flight = max(self.most_in_flight, queued + sum(self.in_flight.values()))
        return most_ms


@pytest.mark.parametrize(
    "count, catch_up_ms", [(SITE_TURNS, SITE_CATCH_UP_MS), (GROWN_TURNS, GROWN_CATCH_UP_MS)], ids=["site", "grown"]
)
def test_the_largest_ledger_is_fetched_in_half_the_time_to_catch_up(count, catch_up_ms):
    net, turns = SlowNet(3), [f"t{n}" for n in range(count)]
    for peer in ("@s1:1", "@s2:1"):
        hold(net, peer, turns, BODY)
    net.slow_disks()
    took_ms = net.repair_until_whole("@s0:1", dict.fromkeys(turns), 2 * catch_up_ms)
    assert took_ms <= catch_up_ms // 2
    bound_bytes = net.replicas["@s0:1"].turn_store.queue_bytes // repair.IN_FLIGHT_SHARE
    assert 0 < net.most_in_flight <= bound_bytes


def test_no_more_is_asked_for_while_what_came_is_not_synced():
    net, turns = SlowNet(3), [f"t{n}" for n in range(2000)]
    hold(net, "@s1:1", turns, BODY)
    net.slow_disks()
    turn_store = net.replicas["@s0:1"].turn_store
    turn_store.queue_bytes = repair.IN_FLIGHT_SHARE * repair.MESSAGE_BYTES
    turn_store.machine = machine_of(net.clock, type("Stuck", (), {"run": lambda self, call, *args: Deferred()})())
    net.repair_until_whole("@s0:1", dict.fromkeys(turns), 1000)
    assert 0 < turn_store.queued_bytes <= repair.MESSAGE_BYTES
    assert len(turn_store.pending) < len(turns)


def rounds(net, live, index):
    repair.repair(net.replicas["@s0:1"], live, ["@s1:1", "@s2:1"], index)
    net.clock.advance(ROUND_MS / 1000)
    return net.replicas["@s0:1"].turn_store


def test_a_body_on_its_way_at_one_round_and_held_at_the_next_was_never_missing():
    net = Net(3)
    assert rounds(net, {}, 10).missing == 0
    turn_store = rounds(net, {"t": None}, 20)
    assert (turn_store.missing, turn_store.counted) == (0, 10)
    store.put(turn_store, "t", b"body")
    turn_store = rounds(net, {"t": None}, 30)
    assert (turn_store.missing, turn_store.counted) == (0, 20)


def test_the_first_round_reports_all_that_is_lacking_and_counts_for_nothing():
    turn_store = rounds(Net(3), {"t": None}, 50)
    assert (turn_store.missing, turn_store.counted) == (1, 0)


def test_what_every_peer_has_denied_is_not_missing_as_of_the_time_when_they_were_asked():
    net = Net(3)
    live = {"nowhere": None}
    rounds(net, live, 10)
    turn_store = rounds(net, live, 20)
    assert (turn_store.missing, turn_store.counted) == (0, 10)
    turn_store = rounds(net, live, 30)
    assert (turn_store.missing, turn_store.counted) == (0, 10)
    for index in range(40, 40 + repair.CYCLE_MS // ROUND_MS * 10 + 20, 10):
        turn_store = rounds(net, live, index)
    assert turn_store.missing == 0 and turn_store.counted > 30


def test_what_one_peer_has_denied_and_another_has_not_answered_is_missing():
    net = Net(3)
    net.down.add("@s2:1")
    for index in (10, 20, 30, 40):
        turn_store = rounds(net, {"t": None}, index)
        assert turn_store.missing == 1
    net.down.clear()
    hold(net, "@s2:1", ["t"])
    for index in range(50, 50 + repair.CYCLE_MS // ROUND_MS * 10 + 30, 10):
        rounds(net, {"t": None}, index)
    assert turn_store.missing == 0 and store.is_stored(turn_store, "t")


def test_a_peer_that_joins_is_asked_before_a_body_counts_as_nowhere():
    net = Net(3)
    for index in (10, 20):
        repair.repair(net.replicas["@s0:1"], {"t": None}, ["@s1:1"], index)
        net.clock.advance(ROUND_MS / 1000)
    turn_store = net.replicas["@s0:1"].turn_store
    assert turn_store.missing == 0
    hold(net, "@s2:1", ["t"])
    assert rounds(net, {"t": None}, 30).missing == 1
    assert rounds(net, {"t": None}, 40).missing == 0 and store.is_stored(turn_store, "t")


def test_a_slow_round_of_the_peers_is_not_waited_for():
    """Batches follow one another within a round."""
    net, turns = SlowNet(2), [f"t{n}" for n in range(20 * repair.BATCH_TURNS)]
    hold(net, "@s1:1", turns, BODY)
    net.slow_disks()
    repair.repair(net.replicas["@s0:1"], dict.fromkeys(turns), ["@s1:1"], 1)
    for _ in range(ROUND_MS):
        net.clock.advance(0.001)
    assert sum(isinstance(body, GetBodiesRequest) for _, _, body in net.sent) > 10
