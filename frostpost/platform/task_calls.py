"""Calls of platform tasks: POST /usage and POST /scaling.

Each call has a connection of its own, which is aborted at the timeout: bytes that a cut link holds back are then
dropped rather than delivered after another daemon has taken over.
"""

from io import BytesIO

from msgspec import json
from twisted.internet.defer import inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.internet.protocol import Protocol
from twisted.internet.task import Cooperator
from twisted.web.client import Agent, FileBodyProducer, HTTPConnectionPool
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from frostpost.cluster.task_client import TaskOutcome
from frostpost.program_ledger.task_messages import UsageTask

from .runner_list import retry_after_ms

RESPONSE_BODY_TIMEOUT_S = 1.0


class LateConnectionError(Exception):
    """The connection was established when the call may no longer be sent."""


class DiscardBody(Protocol):
    """Reads the rest of a response, whose status is all that matters, and closes the connection at a deadline."""

    def __init__(self, reactor, timeout_s):
        self.reactor, self.timeout_s, self.timer = reactor, timeout_s, None

    def connectionMade(self):
        """Start the timer."""
        self.timer = self.reactor.callLater(self.timeout_s, self.transport.loseConnection)

    def connectionLost(self, reason):
        """Stop the timer."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()


@implementer(IStreamClientEndpoint)
class CheckedEndpoint:
    """Connects to the platform; once connected, fails with LateConnectionError unless the call may still be sent."""

    def __init__(self, endpoint, may_send):
        self.endpoint, self.may_send = endpoint, may_send

    def connect(self, protocol_factory):
        """Connect, and check before the request is written, which follows at once."""
        return self.endpoint.connect(protocol_factory).addCallback(self._check)

    def _check(self, protocol):
        if not self.may_send():
            protocol.transport.abortConnection()
            raise LateConnectionError()
        return protocol


@implementer(IAgentEndpointFactory)
class CheckedEndpointFactory:
    """Makes the endpoint of one call."""

    def __init__(self, agent, timeout_ms, may_send):
        self.agent, self.timeout_ms, self.may_send = agent, timeout_ms, may_send

    def endpointForURI(self, uri):
        """Return the endpoint of the platform."""
        settings = self.agent.settings
        endpoint = TCP4ClientEndpoint(
            self.agent.reactor, settings.list_host, settings.list_port, timeout=self.timeout_ms / 1000
        )
        return CheckedEndpoint(endpoint, self.may_send)


def path_and_body(task):
    """Return the path and the body of a task's call; the same task always gives the same bytes."""
    if isinstance(task, UsageTask):
        counts = {entry.tenant: entry.requests for entry in task.counts}
        return "/usage", json.encode({"window-seq": task.window, "counts": counts})
    return "/scaling", json.encode({"target": task.service, "zone": task.zone, "desired": task.desired})


def request_headers(agent, fence):
    """Return the headers of a call."""
    return Headers(
        {
            "X-Duty-Holder": [agent.settings.name],
            "X-Fence-Number": [str(fence)],
            "Content-Type": ["application/json"],
        }
    )


@inlineCallbacks
def call_task(agent, task, fence, timeout_ms, may_send):
    """Make the call of a task. Returns Deferred[TaskOutcome], which fires at the latest after the timeout."""
    settings = agent.settings
    path, body = path_and_body(task)
    http_agent = Agent.usingEndpointFactory(
        agent.reactor,
        CheckedEndpointFactory(agent, timeout_ms, may_send),
        HTTPConnectionPool(agent.reactor, persistent=False),
    )
    url = f"http://{settings.list_host}:{settings.list_port}{path}".encode()
    cooperator = Cooperator(scheduler=lambda write: agent.reactor.callLater(0, write))
    producer = FileBodyProducer(BytesIO(body), cooperator, len(body))
    request = http_agent.request(b"POST", url, request_headers(agent, fence), producer)
    try:
        response = yield request.addTimeout(timeout_ms / 1000, agent.reactor)
    except Exception as error:
        return TaskOutcome(reason=type(error).__name__)
    status, retry_ms = response.code, retry_after_ms(response) if response.code == 429 else 0
    response.deliverBody(DiscardBody(agent.reactor, RESPONSE_BODY_TIMEOUT_S))
    return TaskOutcome(status, retry_ms, "" if status == 200 else "status")
