"""An HTTP client for numeric addresses, without name resolution and automatic retries."""

from treq.client import HTTPClient
from twisted.internet.defer import fail
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionRefusedError
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer


@implementer(IAgentEndpointFactory)
class NumericEndpointFactory:
    """Creates endpoints for numeric addresses without name resolution; bounds the number of connections."""

    __slots__ = ("reactor", "timeout_s", "connections_left", "endpoints_created")

    def __init__(self, reactor, timeout_s, connections_left=1 << 60):
        self.reactor, self.timeout_s, self.connections_left, self.endpoints_created = (
            reactor,
            timeout_s,
            connections_left,
            0,
        )

    def endpointForURI(self, uri):
        """Return an endpoint for a URI's host and port."""
        self.endpoints_created += 1
        return BoundedEndpoint(
            self, TCP4ClientEndpoint(self.reactor, uri.host.decode(), uri.port, timeout=self.timeout_s)
        )


class BoundedEndpoint:
    """An endpoint whose connections count towards its factory's bound."""

    __slots__ = ("factory", "endpoint")

    def __init__(self, factory, endpoint):
        self.factory, self.endpoint = factory, endpoint

    def connect(self, protocolFactory):
        """Connect; fails with ConnectionRefusedError once the bound is reached."""
        self.factory.connections_left -= 1
        if self.factory.connections_left < 0:
            return fail(ConnectionRefusedError("one connection only"))
        return self.endpoint.connect(protocolFactory)


def http_agent(ctx, max_connections=1 << 60, persistent=False):
    """Return the (connection pool, client) of an HTTP client without automatic retries."""
    pool = HTTPConnectionPool(ctx.reactor, persistent=persistent)
    pool.retryAutomatically, pool.maxPersistentPerHost = False, 1
    endpoints = NumericEndpointFactory(ctx.reactor, ctx.settings.doors.connect_ms / 1000, max_connections)
    return pool, HTTPClient(Agent.usingEndpointFactory(ctx.reactor, endpoints, pool=pool))
