from types import SimpleNamespace

from test_turn_store_drive import new_drive, opened
from twisted.internet.task import Clock

from frostpost.turn_store import serving, store
from frostpost.turn_store.repair import is_truncated, missing_turns, repair
from frostpost.virtual_synchrony.agent_messages import (
    DirectoryRequest,
    GetBodiesReply,
    GetBodiesRequest,
    PutBodyReply,
    PutBodyRequest,
)


class Net:
    def __init__(self, count):
        self.clock, self.replicas, self.down, self.sent = Clock(), {}, set(), []
        for n in range(count):
            self.add(f"@s{n}:1")

    def add(self, address):
        turn_store = opened(new_drive(), self.clock)
        self.replicas[address] = SimpleNamespace(
            turn_store=turn_store,
            reactor=self.clock,
            machine=turn_store.machine,
            send=lambda to, body: self.deliver(address, to, body),
        )

    def deliver(self, frm, to, body):
        self.sent.append((frm, to, body))
        if to in self.replicas and to not in self.down:
            serving.on_message(self.replicas[to], frm, body)

    def repair(self, address, live, rounds=1):
        for _ in range(rounds):
            repair(self.replicas[address], live, [p for p in self.replicas if p != address])
            self.clock.advance(0.2)


def hold(net, address, turns, data=b"body"):
    for turn in turns:
        store.put(net.replicas[address].turn_store, turn, data)


def test_put_and_get_are_answered_to_the_sender():
    net = Net(1)
    replica = net.replicas["@s0:1"]
    assert serving.on_message(replica, "@e:1", PutBodyRequest(5, 1, "t", b"body"))
    assert serving.on_message(replica, "@e:1", GetBodiesRequest(5, 2, ("t", "none")))
    assert [(to, body) for _, to, body in net.sent] == [
        ("@e:1", PutBodyReply(5, 1, True)),
        ("@e:1", GetBodiesReply(5, 2, (("t", b"body"),))),
    ]
    assert not serving.on_message(replica, "@e:1", DirectoryRequest())


def test_answer_is_bounded():
    net = Net(1)
    hold(net, "@s0:1", "abcd", b"x" * 600_000)
    items = serving.stored_bodies(net.replicas["@s0:1"].turn_store, tuple("abcd"))
    assert [turn for turn, _ in items] == ["a", "b", "c"] and is_truncated(items)


def test_what_is_lacking_is_fetched_from_the_peers():
    net, turns = Net(3), [f"t{n}" for n in range(300)]
    hold(net, "@s1:1", turns[:200])
    hold(net, "@s2:1", turns[100:])
    live = dict.fromkeys(turns)
    assert missing_turns(net.replicas["@s0:1"].turn_store, live) == turns
    net.repair("@s0:1", live)
    turn_store = net.replicas["@s0:1"].turn_store
    assert turn_store.missing == 300
    assert all(len(body.turns) <= 64 for _, _, body in net.sent if isinstance(body, GetBodiesRequest))
    net.repair("@s0:1", live, 12)
    assert turn_store.missing == 0 and missing_turns(turn_store, live) == []
    assert store.get(turn_store, "t150") == b"body"


def test_silent_peer_is_passed_over_after_a_while():
    net = Net(3)
    hold(net, "@s1:1", "abcdefgh")
    hold(net, "@s2:1", "abcdefgh")
    net.down.add("@s1:1")
    net.repair("@s0:1", dict.fromkeys("abcdefgh"))
    asked = {to for _, to, body in net.sent if isinstance(body, GetBodiesRequest)}
    assert "@s1:1" in asked
    net.repair("@s0:1", dict.fromkeys("abcdefgh"), 4)
    assert net.replicas["@s0:1"].turn_store.missing == 0


def test_large_bodies_come_in_several_answers_from_the_only_holder():
    net = Net(2)
    hold(net, "@s1:1", "abcdef", b"x" * 900_000)
    net.repair("@s0:1", dict.fromkeys("abcdef"), 4)
    assert net.replicas["@s0:1"].turn_store.missing == 0


def test_answers_not_asked_for_are_not_kept():
    net = Net(2)
    replica = net.replicas["@s0:1"]
    serving.on_message(replica, "@s1:1", GetBodiesReply(1, 1, (("t", b"other"),)))
    net.down.add("@s1:1")
    net.repair("@s0:1", {"t": None})
    state = replica.turn_store.repairing
    serving.on_message(replica, "@s1:1", GetBodiesReply(state.incarnation + 1, state.number, (("t", b"other"),)))
    serving.on_message(replica, "@s1:1", GetBodiesReply(state.incarnation, state.number, (("u", b"other"),)))
    assert not store.is_stored(replica.turn_store, "t") and not store.is_stored(replica.turn_store, "u")


def test_full_silo_asks_for_nothing():
    net = Net(2)
    net.replicas["@s0:1"].turn_store.disk_bytes = -1
    net.repair("@s0:1", {"t": None})
    assert net.sent == [] and net.replicas["@s0:1"].turn_store.missing == 1
