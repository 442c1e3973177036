"""An HTTP client for numeric addresses: no name lookups, no retries of its own."""

from treq.client import HTTPClient
from twisted.internet.defer import fail
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionRefusedError
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer


@implementer(IAgentEndpointFactory)
class ByNumber:
    """Makes endpoints for numeric addresses, so that nothing is looked up; bounds their number."""

    __slots__ = ("reactor", "wait_s", "most", "made")

    def __init__(self, reactor, wait_s, most=1 << 60):
        self.reactor, self.wait_s, self.most, self.made = reactor, wait_s, most, 0

    def endpointForURI(self, uri):
        """Return an endpoint for a URI's host and port."""
        self.made += 1
        return Numbered(self, TCP4ClientEndpoint(self.reactor, uri.host.decode(), uri.port, timeout=self.wait_s))


class Numbered:
    """An endpoint that counts its connections against its factory's bound."""

    __slots__ = ("factory", "endpoint")

    def __init__(self, factory, endpoint):
        self.factory, self.endpoint = factory, endpoint

    def connect(self, protocolFactory):
        """Connect, unless the bound on connections is used up."""
        self.factory.most -= 1
        if self.factory.most < 0:
            return fail(ConnectionRefusedError("one connection only"))
        return self.endpoint.connect(protocolFactory)


def http_agent(ctx, most=1 << 60, persistent=False):
    """Return (pool, client) of an HTTP client without retries of its own."""
    pool = HTTPConnectionPool(ctx.reactor, persistent=persistent)
    pool.retryAutomatically, pool.maxPersistentPerHost = False, 1
    ends = ByNumber(ctx.reactor, ctx.settings.doors.connect_ms / 1000, most)
    return pool, HTTPClient(Agent.usingEndpointFactory(ctx.reactor, ends, pool=pool))
