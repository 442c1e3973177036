import pytest
from msgspec import msgpack
from test_cluster_lease_client import endpoint_of, new_agent, sent
from twisted.internet.task import Clock

from frostpost.cluster import agent as assembly
from frostpost.cluster import operation_client
from frostpost.ledger.apply import decode_operation
from frostpost.program_ledger.messages import AbortAttempt, AttemptEnded, BeginAttempt, EndAttempt, ReadRouting
from frostpost.proxy.failures import Unavailable
from frostpost.virtual_synchrony.agent_messages import LeaseReply, OperationReply, OperationRequest
from frostpost.virtual_synchrony.frames import Frame

PLACES = (endpoint_of("s1", port=7), endpoint_of("s2", port=8))
END = EndAttempt("a", 3)
ENDED = AttemptEnded()


def granted(agent, name="s1", lease_ms=1200, epoch=1):
    at = next(p for p in PLACES if p.member.name == name)
    grant = LeaseReply(int(agent.reactor.seconds() * 1000), lease_ms, name, epoch=epoch, endpoints=PLACES)
    assembly.on_frame(agent, Frame(1, at, "", grant))


def started():
    clock = Clock()
    agent = new_agent(clock)
    granted(agent)
    sent(agent)
    return clock, agent


def outcomes(answer):
    found = []
    answer.addCallback(found.append)
    return found


def told(agent, number, verdict=ENDED, incarnation=None, fault=""):
    operation_client.on_operation_reply(
        agent,
        OperationReply(
            agent.endpoint.member.incarnation if incarnation is None else incarnation,
            number,
            msgpack.encode(verdict),
            fault,
        ),
    )


def asked(agent):
    return [
        (to, body.number, decode_operation(body.payload))
        for to, body in sent(agent)
        if isinstance(body, OperationRequest)
    ]


def test_without_a_lease_nothing_is_handed_in():
    agent = new_agent(Clock())
    result = outcomes(operation_client.call_replicas(agent, END, 500))[0]
    assert (
        result.error == Unavailable(operation_client.RETRY_MS, "lease") and not operation_client.client_of(agent).open
    )


@pytest.mark.parametrize("op", [END, AbortAttempt("a"), ReadRouting(), BeginAttempt("a", "p", 1, 1, "", 9, ())])
def test_operation_goes_to_the_sequencer_and_its_verdict_answers_once(op):
    _, agent = started()
    found = outcomes(operation_client.call_replicas(agent, op, 500))
    assert asked(agent) == [("@h:7", 1, op)]
    told(agent, 1)
    told(agent, 1)
    assert [r.ok for r in found] == [AttemptEnded()] and not agent.operations.open


def test_what_is_open_is_handed_in_again_on_a_new_sequencer_with_its_number():
    _, agent = started()
    found = outcomes(operation_client.call_replicas(agent, END, 5000))
    done = outcomes(operation_client.call_replicas(agent, AbortAttempt("b"), 5000))
    told(agent, 2)
    sent(agent)
    granted(agent, "s2", epoch=2)
    assert asked(agent) == [("@h:8", 1, END)]
    granted(agent, "s2", epoch=2)
    assert asked(agent) == []
    told(agent, 1)
    assert len(found) == len(done) == 1


def test_what_stays_unanswered_is_handed_in_again_after_a_while():
    clock, agent = started()
    operation_client.call_replicas(agent, END, 5000)
    sent(agent)
    clock.advance(operation_client.RESEND_MS / 1000 - 0.01)
    operation_client.resend_due(agent)
    assert asked(agent) == []
    clock.advance(0.01)
    operation_client.resend_due(agent)
    assert asked(agent) == [("@h:7", 1, END)]


def test_past_its_time_it_is_undecided_and_a_late_verdict_is_dropped():
    clock, agent = started()
    found = outcomes(operation_client.call_replicas(agent, END, 250))
    clock.advance(0.249)
    operation_client.resend_due(agent)
    assert found == []
    clock.advance(0.001)
    operation_client.resend_due(agent)
    told(agent, 1)
    assert [r.error for r in found] == [Unavailable(operation_client.RETRY_MS, "undecided")]
    assert agent.counts["undecided"] == 1 and not agent.operations.open


def test_verdict_for_another_boot_is_ignored():
    _, agent = started()
    found = outcomes(operation_client.call_replicas(agent, END, 500))
    told(agent, 1, incarnation=agent.endpoint.member.incarnation + 1)
    told(agent, 9)
    assert found == [] and list(agent.operations.open) == [1]


def test_fault_keeps_the_operation_open():
    _, agent = started()
    found = outcomes(operation_client.call_replicas(agent, END, 500))
    told(agent, 1, fault="Undecided")
    assert found == [] and agent.counts["ring/Undecided"] == 1
    told(agent, 1)
    assert [r.ok for r in found] == [AttemptEnded()]


def test_end_is_taken_without_a_lease_and_goes_out_with_the_first_sequencer():
    agent = new_agent(Clock())
    found = outcomes(operation_client.submit_until_decided(agent, END))
    assert asked(agent) == []
    granted(agent)
    assert asked(agent) == [("@h:7", 1, END)]
    told(agent, 1)
    assert [r.ok for r in found] == [AttemptEnded()]


def test_end_is_handed_in_until_it_is_decided_however_long_there_is_no_ring():
    clock, agent = started()
    found = outcomes(operation_client.submit_until_decided(agent, END))
    sent(agent)
    clock.advance(61)
    operation_client.resend_due(agent)
    assert found == []
    granted(agent, "s2", epoch=2)
    assert ("@h:8", 1, END) in asked(agent)
