import pytest
from msgspec import msgpack
from test_cluster_lease_client import endpoint_of, new_agent, sent
from twisted.internet.task import Clock

from frostpost.cluster import agent as agents
from frostpost.cluster import operation_client
from frostpost.ledger.apply import decode_operation
from frostpost.program_ledger.messages import AbortAttempt, AttemptEnded, BeginAttempt, EndAttempt, ReadRouting
from frostpost.proxy.failures import Unavailable
from frostpost.virtual_synchrony.agent_messages import LeaseReply, OperationReply, OperationRequest
from frostpost.virtual_synchrony.frames import Frame

ENDPOINTS = (endpoint_of("s1", port=7), endpoint_of("s2", port=8))
END = EndAttempt("a", 3)
ENDED = AttemptEnded()


def grant_lease(agent, name="s1", lease_ms=1200, epoch=1):
    endpoint = next(p for p in ENDPOINTS if p.member.name == name)
    reply_message = LeaseReply(int(agent.reactor.seconds() * 1000), lease_ms, name, epoch=epoch, endpoints=ENDPOINTS)
    agents.on_frame(agent, Frame(1, endpoint, "", reply_message))


def agent_with_lease():
    clock = Clock()
    agent = new_agent(clock)
    grant_lease(agent)
    sent(agent)
    return clock, agent


def results_of(answer):
    results = []
    answer.addCallback(results.append)
    return results


def reply(agent, number, result=ENDED, incarnation=None, error=""):
    operation_client.on_operation_reply(
        agent,
        OperationReply(
            agent.endpoint.member.incarnation if incarnation is None else incarnation,
            number,
            msgpack.encode(result),
            error,
        ),
    )


def operations_sent(agent):
    return [
        (to, body.number, decode_operation(body.payload))
        for to, body in sent(agent)
        if isinstance(body, OperationRequest)
    ]


def test_without_a_lease_nothing_is_submitted():
    agent = new_agent(Clock())
    result = results_of(operation_client.call_replicas(agent, END, 500))[0]
    assert (
        result.error == Unavailable(operation_client.RETRY_MS, "lease")
        and not operation_client.client_of(agent).pending
    )


@pytest.mark.parametrize("op", [END, AbortAttempt("a"), ReadRouting(), BeginAttempt("a", "p", 1, 1, "", 9, ())])
def test_an_operation_is_sent_to_the_sequencer_and_resolved_once(op):
    _, agent = agent_with_lease()
    results = results_of(operation_client.call_replicas(agent, op, 500))
    assert operations_sent(agent) == [("@h:7", 1, op)]
    reply(agent, 1)
    reply(agent, 1)
    assert [r.ok for r in results] == [AttemptEnded()] and not agent.operations.pending


def test_pending_operations_are_resent_to_a_new_sequencer_with_their_numbers():
    _, agent = agent_with_lease()
    results = results_of(operation_client.call_replicas(agent, END, 5000))
    other_results = results_of(operation_client.call_replicas(agent, AbortAttempt("b"), 5000))
    reply(agent, 2)
    sent(agent)
    grant_lease(agent, "s2", epoch=2)
    assert operations_sent(agent) == [("@h:8", 1, END)]
    grant_lease(agent, "s2", epoch=2)
    assert operations_sent(agent) == []
    reply(agent, 1)
    assert len(results) == len(other_results) == 1


def test_an_operation_without_a_reply_is_resent_after_the_resend_interval():
    clock, agent = agent_with_lease()
    operation_client.call_replicas(agent, END, 5000)
    sent(agent)
    clock.advance(operation_client.RESEND_MS / 1000 - 0.01)
    operation_client.resend_due(agent)
    assert operations_sent(agent) == []
    clock.advance(0.01)
    operation_client.resend_due(agent)
    assert operations_sent(agent) == [("@h:7", 1, END)]


def test_an_operation_past_its_deadline_is_undecided_and_a_late_reply_is_dropped():
    clock, agent = agent_with_lease()
    results = results_of(operation_client.call_replicas(agent, END, 250))
    clock.advance(0.249)
    operation_client.resend_due(agent)
    assert results == []
    clock.advance(0.001)
    operation_client.resend_due(agent)
    reply(agent, 1)
    assert [r.error for r in results] == [Unavailable(operation_client.RETRY_MS, "undecided")]
    assert agent.counts["undecided"] == 1 and not agent.operations.pending


def test_a_reply_to_another_incarnation_is_ignored():
    _, agent = agent_with_lease()
    results = results_of(operation_client.call_replicas(agent, END, 500))
    reply(agent, 1, incarnation=agent.endpoint.member.incarnation + 1)
    reply(agent, 9)
    assert results == [] and list(agent.operations.pending) == [1]


def test_an_error_reply_keeps_the_operation_pending():
    _, agent = agent_with_lease()
    results = results_of(operation_client.call_replicas(agent, END, 500))
    reply(agent, 1, error="Undecided")
    assert results == [] and agent.counts["ring/Undecided"] == 1
    reply(agent, 1)
    assert [r.ok for r in results] == [AttemptEnded()]


def test_an_end_is_accepted_without_a_lease_and_sent_to_the_first_sequencer():
    agent = new_agent(Clock())
    results = results_of(operation_client.submit_until_decided(agent, END))
    assert operations_sent(agent) == []
    grant_lease(agent)
    assert operations_sent(agent) == [("@h:7", 1, END)]
    reply(agent, 1)
    assert [r.ok for r in results] == [AttemptEnded()]


def test_an_end_is_resent_until_decided_however_long_there_is_no_sequencer():
    clock, agent = agent_with_lease()
    results = results_of(operation_client.submit_until_decided(agent, END))
    sent(agent)
    clock.advance(61)
    operation_client.resend_due(agent)
    assert results == []
    grant_lease(agent, "s2", epoch=2)
    assert ("@h:8", 1, END) in operations_sent(agent)
