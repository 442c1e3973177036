"""Repair on simulated slow links and disks: its rate, the bytes in flight and the missing count."""

from collections import Counter

import pytest
from test_turn_store_disk import machine_of
from test_turn_store_serving import Network, put_bodies
from twisted.internet.defer import Deferred

from frostpost.turn_store import repair, store
from frostpost.virtual_synchrony.agent_messages import GetBodiesReply, GetBodiesRequest

ROUND_MS = 200
LINK_DELAY_MS, SYNC_MS, LINK_BYTES_PER_MS = 2.0, 4.0, 75_000
BODY = b"b" * 3000
REGULAR_TURNS, REGULAR_CATCH_UP_MS = 66 * 110, 4000
LARGE_TURNS, LARGE_CATCH_UP_MS = 66 * 320, 6000


class SlowDisk:
    """Completes each job of a thread after the duration of a sync."""

    def __init__(self, clock):
        self.clock = clock

    def run(self, function, *args):
        deferred = Deferred()
        self.clock.callLater(SYNC_MS / 1000, lambda: deferred.callback(function(*args)))
        return deferred


class SlowNetwork(Network):
    """Network with a link delay and a bandwidth that bodies use up."""

    def __init__(self, count):
        super().__init__(count)
        self.requested_bytes, self.max_in_flight_bytes = Counter(), 0
        for replica in self.replicas.values():
            replica.machine = machine_of(self.clock, SlowDisk(self.clock))

    def install_slow_disks(self):
        for replica in self.replicas.values():
            replica.turn_store.machine = replica.machine

    def deliver(self, sender, to, body):
        body_bytes = sum(len(data) for _, data in body.items) if isinstance(body, GetBodiesReply) else 0
        if isinstance(body, GetBodiesRequest):
            self.requested_bytes[to] = len(body.turns) * len(BODY)
        delay_ms = LINK_DELAY_MS + body_bytes / LINK_BYTES_PER_MS
        self.clock.callLater(delay_ms / 1000, self.receive, sender, to, body)

    def receive(self, sender, to, body):
        if isinstance(body, GetBodiesReply):
            self.requested_bytes[sender] = 0
        super().deliver(sender, to, body)

    def repair_until_complete(self, address, live, timeout_ms):
        """Return the milliseconds until nothing is reported missing, at most `timeout_ms`."""
        peers = [peer for peer in self.replicas if peer != address]
        for at_ms in range(0, timeout_ms, 1):
            if at_ms % ROUND_MS == 0:
                repair.run_round(self.replicas[address], live, peers, at_ms)
                if at_ms and self.replicas[address].turn_store.missing_count == 0:
                    return at_ms
            self.clock.advance(0.001)
            queued_bytes = self.replicas[address].turn_store.queued_bytes
            self.max_in_flight_bytes = max(self.max_in_flight_bytes, queued_bytes + sum(self.requested_bytes.values()))
        return timeout_ms


@pytest.mark.parametrize(
    "count, catch_up_ms",
    [(REGULAR_TURNS, REGULAR_CATCH_UP_MS), (LARGE_TURNS, LARGE_CATCH_UP_MS)],
    ids=["regular", "large"],
)
def test_largest_ledger_is_fetched_in_half_the_catch_up_time(count, catch_up_ms):
    network, turns = SlowNetwork(3), [f"t{n}" for n in range(count)]
    for peer in ("@s1:1", "@s2:1"):
        put_bodies(network, peer, turns, BODY)
    network.install_slow_disks()
    took_ms = network.repair_until_complete("@s0:1", dict.fromkeys(turns), 2 * catch_up_ms)
    assert took_ms <= catch_up_ms // 2
    bound_bytes = network.replicas["@s0:1"].turn_store.max_queue_bytes // repair.IN_FLIGHT_DIVISOR
    assert 0 < network.max_in_flight_bytes <= bound_bytes


def test_no_more_is_requested_while_received_bodies_are_not_synced():
    network, turns = SlowNetwork(3), [f"t{n}" for n in range(2000)]
    put_bodies(network, "@s1:1", turns, BODY)
    network.install_slow_disks()
    turn_store = network.replicas["@s0:1"].turn_store
    turn_store.max_queue_bytes = repair.IN_FLIGHT_DIVISOR * repair.REPLY_BYTES
    turn_store.machine = machine_of(
        network.clock, type("BlockedThreads", (), {"run": lambda self, function, *args: Deferred()})()
    )
    network.repair_until_complete("@s0:1", dict.fromkeys(turns), 1000)
    assert 0 < turn_store.queued_bytes <= repair.REPLY_BYTES
    assert len(turn_store.pending_puts) < len(turns)


def round_at(network, live, index):
    repair.run_round(network.replicas["@s0:1"], live, ["@s1:1", "@s2:1"], index)
    network.clock.advance(ROUND_MS / 1000)
    return network.replicas["@s0:1"].turn_store


def test_body_that_arrives_between_two_rounds_does_not_count_as_missing():
    network = Network(3)
    assert round_at(network, {}, 10).missing_count == 0
    turn_store = round_at(network, {"t": None}, 20)
    assert (turn_store.missing_count, turn_store.missing_as_of_index) == (0, 10)
    store.put(turn_store, "t", b"body")
    turn_store = round_at(network, {"t": None}, 30)
    assert (turn_store.missing_count, turn_store.missing_as_of_index) == (0, 20)


def test_first_round_reports_all_missing_bodies_as_of_index_zero():
    turn_store = round_at(Network(3), {"t": None}, 50)
    assert (turn_store.missing_count, turn_store.missing_as_of_index) == (1, 0)


def test_body_absent_from_every_peer_is_not_missing_as_of_the_index_of_the_requests():
    network = Network(3)
    live = {"nowhere": None}
    round_at(network, live, 10)
    turn_store = round_at(network, live, 20)
    assert (turn_store.missing_count, turn_store.missing_as_of_index) == (0, 10)
    turn_store = round_at(network, live, 30)
    assert (turn_store.missing_count, turn_store.missing_as_of_index) == (0, 10)
    for index in range(40, 40 + repair.RETRY_CYCLE_MS // ROUND_MS * 10 + 20, 10):
        turn_store = round_at(network, live, index)
    assert turn_store.missing_count == 0 and turn_store.missing_as_of_index > 30


def test_body_absent_from_one_peer_while_another_is_unreachable_is_missing():
    network = Network(3)
    network.unreachable.add("@s2:1")
    for index in (10, 20, 30, 40):
        turn_store = round_at(network, {"t": None}, index)
        assert turn_store.missing_count == 1
    network.unreachable.clear()
    put_bodies(network, "@s2:1", ["t"])
    for index in range(50, 50 + repair.RETRY_CYCLE_MS // ROUND_MS * 10 + 30, 10):
        round_at(network, {"t": None}, index)
    assert turn_store.missing_count == 0 and store.is_stored(turn_store, "t")


def test_new_peer_is_asked_before_a_body_counts_as_absent_everywhere():
    network = Network(3)
    for index in (10, 20):
        repair.run_round(network.replicas["@s0:1"], {"t": None}, ["@s1:1"], index)
        network.clock.advance(ROUND_MS / 1000)
    turn_store = network.replicas["@s0:1"].turn_store
    assert turn_store.missing_count == 0
    put_bodies(network, "@s2:1", ["t"])
    assert round_at(network, {"t": None}, 30).missing_count == 1
    assert round_at(network, {"t": None}, 40).missing_count == 0 and store.is_stored(turn_store, "t")


def test_several_batches_are_requested_within_a_round():
    network, turns = SlowNetwork(2), [f"t{n}" for n in range(20 * repair.BATCH_TURNS)]
    put_bodies(network, "@s1:1", turns, BODY)
    network.install_slow_disks()
    repair.run_round(network.replicas["@s0:1"], dict.fromkeys(turns), ["@s1:1"], 1)
    for _ in range(ROUND_MS):
        network.clock.advance(0.001)
    assert sum(isinstance(body, GetBodiesRequest) for _, _, body in network.sent) > 10
