import pytest
from msgspec import msgpack
from test_cluster_lease_client import endpoint_of, new_leaf, sent
from twisted.internet.task import Clock

from frostpost.cluster import agent as assembly
from frostpost.cluster import operation_client
from frostpost.ledger.apply import decode_op
from frostpost.program_ledger.words import Abort, Begin, End, Ended, LookRouting
from frostpost.proxy.failures import Unavailable
from frostpost.virtual_synchrony.agent_messages import LeaseReply, OperationReply, OperationRequest
from frostpost.virtual_synchrony.frames import Frame

PLACES = (endpoint_of("s1", port=7), endpoint_of("s2", port=8))
END = End("a", 3)
ENDED = Ended()


def granted(leaf, name="s1", lease_ms=1200, epoch=1):
    at = next(p for p in PLACES if p.member.name == name)
    grant = LeaseReply(int(leaf.reactor.seconds() * 1000), lease_ms, name, epoch=epoch, endpoints=PLACES)
    assembly.received(leaf, Frame(1, at, "", grant))


def started():
    clock = Clock()
    leaf = new_leaf(clock)
    granted(leaf)
    sent(leaf)
    return clock, leaf


def outcomes(answer):
    found = []
    answer.addCallback(found.append)
    return found


def told(leaf, number, verdict=ENDED, incarnation=None, fault=""):
    operation_client.told(
        leaf,
        OperationReply(
            leaf.endpoint.member.incarnation if incarnation is None else incarnation,
            number,
            msgpack.encode(verdict),
            fault,
        ),
    )


def asked(leaf):
    return [(to, body.number, decode_op(body.payload)) for to, body in sent(leaf) if isinstance(body, OperationRequest)]


def test_without_a_lease_nothing_is_handed_in():
    leaf = new_leaf(Clock())
    result = outcomes(operation_client.ask(leaf, END, 500))[0]
    assert result.error == Unavailable(operation_client.RETRY_MS, "lease") and not operation_client.asking(leaf).open


@pytest.mark.parametrize("op", [END, Abort("a"), LookRouting(), Begin("a", "p", 1, 1, "", 9, ())])
def test_operation_goes_to_the_sequencer_and_its_verdict_answers_once(op):
    _, leaf = started()
    found = outcomes(operation_client.ask(leaf, op, 500))
    assert asked(leaf) == [("@h:7", 1, op)]
    told(leaf, 1)
    told(leaf, 1)
    assert [r.ok for r in found] == [Ended()] and not leaf.asking.open


def test_what_is_open_is_handed_in_again_on_a_new_sequencer_with_its_number():
    _, leaf = started()
    found = outcomes(operation_client.ask(leaf, END, 5000))
    done = outcomes(operation_client.ask(leaf, Abort("b"), 5000))
    told(leaf, 2)
    sent(leaf)
    granted(leaf, "s2", epoch=2)
    assert asked(leaf) == [("@h:8", 1, END)]
    granted(leaf, "s2", epoch=2)
    assert asked(leaf) == []
    told(leaf, 1)
    assert len(found) == len(done) == 1


def test_what_stays_unanswered_is_handed_in_again_after_a_while():
    clock, leaf = started()
    operation_client.ask(leaf, END, 5000)
    sent(leaf)
    clock.advance(operation_client.RESEND_MS / 1000 - 0.01)
    operation_client.tend(leaf)
    assert asked(leaf) == []
    clock.advance(0.01)
    operation_client.tend(leaf)
    assert asked(leaf) == [("@h:7", 1, END)]


def test_past_its_time_it_is_undecided_and_a_late_verdict_is_dropped():
    clock, leaf = started()
    found = outcomes(operation_client.ask(leaf, END, 250))
    clock.advance(0.249)
    operation_client.tend(leaf)
    assert found == []
    clock.advance(0.001)
    operation_client.tend(leaf)
    told(leaf, 1)
    assert [r.error for r in found] == [Unavailable(operation_client.RETRY_MS, "undecided")]
    assert leaf.counts["undecided"] == 1 and not leaf.asking.open


def test_verdict_for_another_boot_is_ignored():
    _, leaf = started()
    found = outcomes(operation_client.ask(leaf, END, 500))
    told(leaf, 1, incarnation=leaf.endpoint.member.incarnation + 1)
    told(leaf, 9)
    assert found == [] and list(leaf.asking.open) == [1]


def test_fault_keeps_the_operation_open():
    _, leaf = started()
    found = outcomes(operation_client.ask(leaf, END, 500))
    told(leaf, 1, fault="Undecided")
    assert found == [] and leaf.counts["ring/Undecided"] == 1
    told(leaf, 1)
    assert [r.ok for r in found] == [Ended()]


def test_end_is_taken_without_a_lease_and_goes_out_with_the_first_sequencer():
    leaf = new_leaf(Clock())
    found = outcomes(operation_client.tell(leaf, END))
    assert asked(leaf) == []
    granted(leaf)
    assert asked(leaf) == [("@h:7", 1, END)]
    told(leaf, 1)
    assert [r.ok for r in found] == [Ended()]


def test_end_is_handed_in_until_it_is_decided_however_long_there_is_no_ring():
    clock, leaf = started()
    found = outcomes(operation_client.tell(leaf, END))
    sent(leaf)
    clock.advance(61)
    operation_client.tend(leaf)
    assert found == []
    granted(leaf, "s2", epoch=2)
    assert ("@h:8", 1, END) in asked(leaf)
