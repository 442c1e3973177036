from types import SimpleNamespace

from test_turn_store_disk import new_disk, open_store
from twisted.internet.task import Clock

from frostpost.turn_store import serving, store
from frostpost.turn_store.repair import is_truncated, missing_turns, run_round
from frostpost.virtual_synchrony.agent_messages import (
    DirectoryRequest,
    GetBodiesReply,
    GetBodiesRequest,
    PutBodyReply,
    PutBodyRequest,
)


class Network:
    """Replicas with a turn store each; messages to unreachable ones are lost."""

    def __init__(self, count):
        self.clock, self.replicas, self.unreachable, self.sent = Clock(), {}, set(), []
        for n in range(count):
            self.add(f"@s{n}:1")

    def add(self, address):
        turn_store = open_store(new_disk(), self.clock)
        self.replicas[address] = SimpleNamespace(
            turn_store=turn_store,
            reactor=self.clock,
            machine=turn_store.machine,
            send=lambda to, body: self.deliver(address, to, body),
        )

    def deliver(self, sender, to, body):
        self.sent.append((sender, to, body))
        if to in self.replicas and to not in self.unreachable:
            serving.on_message(self.replicas[to], sender, body)

    def repair(self, address, live, rounds=1):
        for _ in range(rounds):
            run_round(self.replicas[address], live, [peer for peer in self.replicas if peer != address])
            self.clock.advance(0.2)


def put_bodies(network, address, turns, data=b"body"):
    for turn in turns:
        store.put(network.replicas[address].turn_store, turn, data)


def test_replies_to_put_and_get_go_to_the_sender():
    network = Network(1)
    replica = network.replicas["@s0:1"]
    assert serving.on_message(replica, "@e:1", PutBodyRequest(5, 1, "t", b"body"))
    assert serving.on_message(replica, "@e:1", GetBodiesRequest(5, 2, ("t", "none")))
    assert [(to, body) for _, to, body in network.sent] == [
        ("@e:1", PutBodyReply(5, 1, True)),
        ("@e:1", GetBodiesReply(5, 2, (("t", b"body"),))),
    ]
    assert not serving.on_message(replica, "@e:1", DirectoryRequest())


def test_reply_is_bounded_by_bytes():
    network = Network(1)
    put_bodies(network, "@s0:1", "abcd", b"x" * 600_000)
    items = serving.read_bodies(network.replicas["@s0:1"].turn_store, tuple("abcd"))
    assert [turn for turn, _ in items] == ["a", "b", "c"] and is_truncated(items)


def test_missing_bodies_are_fetched_from_the_peers():
    network, turns = Network(3), [f"t{n}" for n in range(300)]
    put_bodies(network, "@s1:1", turns[:200])
    put_bodies(network, "@s2:1", turns[100:])
    live = dict.fromkeys(turns)
    assert missing_turns(network.replicas["@s0:1"].turn_store, live) == turns
    network.repair("@s0:1", live)
    turn_store = network.replicas["@s0:1"].turn_store
    assert turn_store.missing_count == 300
    assert all(len(body.turns) <= 64 for _, _, body in network.sent if isinstance(body, GetBodiesRequest))
    network.repair("@s0:1", live, 12)
    assert turn_store.missing_count == 0 and missing_turns(turn_store, live) == []
    assert store.get(turn_store, "t150") == b"body"


def test_unresponsive_peer_is_skipped_after_a_timeout():
    network = Network(3)
    put_bodies(network, "@s1:1", "abcdefgh")
    put_bodies(network, "@s2:1", "abcdefgh")
    network.unreachable.add("@s1:1")
    network.repair("@s0:1", dict.fromkeys("abcdefgh"))
    requested_peers = {to for _, to, body in network.sent if isinstance(body, GetBodiesRequest)}
    assert "@s1:1" in requested_peers
    network.repair("@s0:1", dict.fromkeys("abcdefgh"), 4)
    assert network.replicas["@s0:1"].turn_store.missing_count == 0


def test_large_bodies_arrive_in_several_replies_from_the_only_holder():
    network = Network(2)
    put_bodies(network, "@s1:1", "abcdef", b"x" * 900_000)
    network.repair("@s0:1", dict.fromkeys("abcdef"), 4)
    assert network.replicas["@s0:1"].turn_store.missing_count == 0


def test_unrequested_replies_are_not_stored():
    network = Network(2)
    replica = network.replicas["@s0:1"]
    serving.on_message(replica, "@s1:1", GetBodiesReply(1, 1, (("t", b"other"),)))
    network.unreachable.add("@s1:1")
    network.repair("@s0:1", {"t": None})
    state = replica.turn_store.repair_state
    serving.on_message(replica, "@s1:1", GetBodiesReply(state.incarnation + 1, state.last_number, (("t", b"other"),)))
    serving.on_message(replica, "@s1:1", GetBodiesReply(state.incarnation, state.last_number, (("u", b"other"),)))
    assert not store.is_stored(replica.turn_store, "t") and not store.is_stored(replica.turn_store, "u")


def test_full_store_requests_nothing():
    network = Network(2)
    network.replicas["@s0:1"].turn_store.max_disk_bytes = -1
    network.repair("@s0:1", {"t": None})
    assert network.sent == [] and network.replicas["@s0:1"].turn_store.missing_count == 1
