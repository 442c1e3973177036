"""Connection pools, one for each runner."""

from collections import deque

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory

from frostpost.cluster.agent_context import count, now_ms
from frostpost.cluster.lease_client import holds_lease

from .connection import Connection
from .exchange import Exchange

WAITING = 64


def setting(agent, name, otherwise):
    """Return a setting, or a default if the settings object lacks it, as those of tests do."""
    return getattr(agent.settings, name, otherwise)


class Pool:
    """The connections to one runner and the exchanges waiting for one."""

    __slots__ = ("agent", "runner", "idle", "open", "opening", "waiting", "closing")

    def __init__(self, agent, runner):
        self.agent, self.runner, self.idle, self.waiting = agent, runner, [], deque()
        self.open, self.opening, self.closing = 0, 0, False

    def freed(self, connection):
        """Return a connection to the pool after its exchange has completed."""
        if self.closing:
            connection.dirty = True
            return connection.transport.loseConnection()
        keep_ms = connection.keep_ms
        if keep_ms > 0:
            keep_ms = keep_ms - 500 if keep_ms >= 2000 else keep_ms // 2
        else:
            keep_ms = setting(self.agent, "idle_ms", 10_000)
        connection.idle_until_ms = now_ms(self.agent) + keep_ms
        connection.resume()
        self.idle.append(connection)
        if self.waiting:
            self.agent.reactor.callLater(0, self.serve_waiting)

    def closed(self, connection):
        """Remove a closed connection."""
        self.open -= 1
        if connection in self.idle:
            self.idle.remove(connection)
        self.serve_waiting()

    def take_idle(self):
        """Return a usable idle connection, or None."""
        now = now_ms(self.agent)
        while self.idle:
            connection = self.idle.pop()
            if connection.idle_until_ms > now and not connection.stale():
                return connection
            connection.drop()
        return None

    def serve_waiting(self):
        """Assign idle connections to waiting exchanges and open more connections if needed."""
        while self.waiting:
            if self.waiting[0].over:
                self.waiting.popleft()
                continue
            connection = self.take_idle()
            if connection is None:
                break
            write(self, self.waiting.popleft(), connection)
        wanted = sum(1 for exchange in self.waiting if not exchange.over)
        while self.opening < wanted and self.open + self.opening < most_connections(self.agent, self.runner):
            self.connect()

    def connect(self):
        """Open one more connection."""
        self.opening += 1
        count(self.agent, "connects")
        endpoint = TCP4ClientEndpoint(
            self.agent.reactor,
            self.runner.host,
            self.runner.port,
            timeout=setting(self.agent, "connect_ms", 1000) / 1000,
        )
        factory = Factory.forProtocol(lambda: Connection(self))
        factory.noisy = False
        endpoint.connect(factory).addCallbacks(self._connected, self._no_connection)

    def _connected(self, connection):
        self.opening -= 1
        self.open += 1
        self.freed(connection)
        self.serve_waiting()

    def _no_connection(self, failure):
        self.opening -= 1
        while self.waiting:
            exchange = self.waiting.popleft()
            if not exchange.over:
                return exchange.not_sent("connect")

    def close(self):
        """Close idle connections now and busy ones when their exchange completes."""
        self.closing = True
        idle, self.idle = self.idle, []
        for connection in idle:
            connection.drop()
        waiting, self.waiting = self.waiting, deque()
        for exchange in waiting:
            exchange.not_sent("gone")


def most_connections(agent, runner):
    """Return how many connections this daemon may open to a runner."""
    service = agent.routing.services.get(runner.service) if agent.routing is not None else None
    share = setting(agent, "connection_share", 0.5)
    return max(2, int(service.max_connections * share)) if service is not None else 2


def may_send(agent, exchange):
    """Return the reason why the exchange may not be sent now, or an empty string."""
    runner = agent.runners.get(exchange.runner.id)
    if runner is None or runner.draining or (runner.host, runner.port) != (exchange.runner.host, exchange.runner.port):
        return "gone"
    if exchange.until_ms <= now_ms(agent):
        return "late"
    return "" if holds_lease(agent) else "lease"


def write(pool, exchange, connection):
    """Write a request, or end it as not sent if it may no longer be sent."""
    why = may_send(pool.agent, exchange)
    if why:
        pool.freed(connection)
        return exchange.not_sent(why)
    exchange.write_to(connection)


def send(agent, runner, call, body, left_ms, listener):
    """Send a request to a runner over a pooled connection; returns its Exchange."""
    exchange = Exchange(agent, runner, call, body, now_ms(agent) + left_ms, listener)
    pool = agent.pools.get(runner.id)
    if pool is None:
        pool = agent.pools[runner.id] = Pool(agent, runner)
    why = may_send(agent, exchange)
    if why or pool.closing or len(pool.waiting) >= WAITING:
        agent.reactor.callLater(0, exchange.not_sent, why or "full")
        return exchange
    connection = pool.take_idle()
    if connection is not None:
        write(pool, exchange, connection)
    else:
        pool.waiting.append(exchange)
        pool.serve_waiting()
    return exchange


def close_pools(agent, runner_ids):
    """Close the connections to runners that are draining or gone."""
    for runner_id in runner_ids:
        pool = agent.pools.pop(runner_id, None)
        if pool is not None:
            pool.close()


def sweep(agent):
    """Close idle connections that have expired."""
    now = now_ms(agent)
    for pool in agent.pools.values():
        for connection in [c for c in pool.idle if c.idle_until_ms <= now]:
            pool.idle.remove(connection)
            connection.drop()
