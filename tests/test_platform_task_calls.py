"""Calls of platform tasks on the wire: what is sent, that nothing is sent late, and what an answer becomes."""

import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport

from frostpost.cluster.agent_context import AgentContext
from frostpost.cluster.settings import DaemonSettings
from frostpost.cluster.task_client import TaskOutcome
from frostpost.daemon.machine import Machine
from frostpost.platform.task_calls import call_task
from frostpost.program_ledger.task_messages import ScalingTask, UsageTask
from frostpost.virtual_synchrony.task_messages import TenantRequests

TIMEOUT_MS = 1500
USAGE = UsageTask(353445120, (TenantRequests("fida11", 412), TenantRequests("hule930", 7)))


class Call:
    """One call; `may_send` is what the check before the write finds."""

    def __init__(self, task=USAGE, may_send=True):
        self.reactor, self.may_send, self.outcomes = MemoryReactorClock(), may_send, []
        settings = DaemonSettings("core-1", "core", "z", "h", 1, list_host="10.0.0.9", list_port=8142)
        agent = AgentContext(settings, self.reactor, None, Machine(seconds=self.reactor.seconds))
        call_task(agent, task, 12, TIMEOUT_MS, lambda: self.may_send).addCallback(self.outcomes.append)

    def connect(self):
        host, port, factory, _, _ = self.reactor.tcpClients[-1]
        assert (host, port) == ("10.0.0.9", 8142)
        self.transport = StringTransport()
        self.transport.aborted = False
        self.transport.abortConnection = lambda: setattr(self.transport, "aborted", True)
        self.protocol = factory.buildProtocol(None)
        self.protocol.makeConnection(self.transport)
        self.reactor.advance(0)
        self.reactor.advance(0)

    def answer(self, data):
        self.protocol.dataReceived(data)


def test_a_usage_report_on_the_wire():
    call = Call()
    call.connect()
    head, _, body = call.transport.value().partition(b"\r\n\r\n")
    start, *fields = head.split(b"\r\n")
    assert start == b"POST /usage HTTP/1.1"
    assert {b"X-Duty-Holder: core-1", b"X-Fence-Number: 12", b"Content-Type: application/json"} <= set(fields)
    assert b"Content-Length: %d" % len(body) in fields
    assert body == b'{"window-seq":353445120,"counts":{"fida11":412,"hule930":7}}'
    call.answer(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert call.outcomes == [TaskOutcome(200)] and call.outcomes[0].is_accepted


def test_an_order_of_runners_on_the_wire():
    call = Call(ScalingTask("huvo11a", "hobart", 6, 3))
    call.connect()
    assert call.transport.value().startswith(b"POST /scaling HTTP/1.1\r\n")
    assert call.transport.value().endswith(b'\r\n\r\n{"target":"huvo11a","zone":"hobart","desired":6}')


@pytest.mark.parametrize(
    "answer, outcome",
    [
        (b"HTTP/1.1 429 X\r\nRetry-After: 2.5\r\nContent-Length: 0\r\n\r\n", TaskOutcome(429, 2500, "status")),
        (b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", TaskOutcome(503, 0, "status")),
        (b"HTTP/1.1 400 X\r\nContent-Length: 2\r\n\r\nno", TaskOutcome(400, 0, "status")),
    ],
)
def test_a_refusal_tells_its_status_and_when_to_come_back(answer, outcome):
    call = Call()
    call.connect()
    call.answer(answer)
    assert call.outcomes == [outcome]


def test_nothing_is_written_on_a_connection_that_came_too_late():
    call = Call()
    call.may_send = False
    call.connect()
    assert call.transport.value() == b"" and call.transport.aborted
    assert [outcome.reason for outcome in call.outcomes] == ["LateConnectionError"]


def test_a_call_without_an_answer_is_aborted_at_its_timeout():
    call = Call()
    call.connect()
    call.reactor.advance(TIMEOUT_MS / 1000 - 0.01)
    assert call.outcomes == [] and not call.transport.aborted
    call.reactor.advance(0.02)
    assert call.transport.aborted and [outcome.status for outcome in call.outcomes] == [0]


def test_a_connection_that_never_comes_is_given_up_at_the_timeout():
    call = Call()
    call.reactor.advance(TIMEOUT_MS / 1000 + 0.01)
    assert len(call.outcomes) == 1 and not call.outcomes[0].is_accepted
    assert call.reactor.connectors[0].stoppedConnecting


def test_a_response_body_that_never_ends_does_not_keep_its_connection():
    call = Call()
    call.connect()
    call.answer(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nx")
    assert [outcome.status for outcome in call.outcomes] == [200]
    call.reactor.advance(2)
    assert call.transport.disconnecting or call.transport.aborted


def test_a_call_is_broken_off_when_its_connection_is_lost():
    from twisted.internet.error import ConnectionLost
    from twisted.python.failure import Failure

    call = Call()
    call.connect()
    call.protocol.connectionLost(Failure(ConnectionLost()))
    assert [outcome.status for outcome in call.outcomes] == [0] and call.outcomes[0].reason
