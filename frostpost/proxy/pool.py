"""Connection pools, one for each runner."""

from collections import deque

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory

from frostpost.cluster.agent_context import count, now_ms
from frostpost.cluster.lease_client import holds_lease

from .connection import Connection
from .exchange import Exchange

MAX_WAITING = 64


def setting(agent, name, default):
    """Return a setting, or a default if the settings object lacks it, as those of tests do."""
    return getattr(agent.settings, name, default)


class Pool:
    """The connections to one runner and the exchanges waiting for one."""

    __slots__ = ("agent", "runner", "idle", "open_count", "opening_count", "waiting", "closing")

    def __init__(self, agent, runner):
        self.agent, self.runner, self.idle, self.waiting = agent, runner, [], deque()
        self.open_count, self.opening_count, self.closing = 0, 0, False

    def release(self, connection):
        """Return a connection to the pool after its exchange has completed."""
        if self.closing:
            connection.unusable = True
            return connection.transport.loseConnection()
        keep_alive_ms = connection.keep_alive_ms
        if keep_alive_ms > 0:
            keep_alive_ms = keep_alive_ms - 500 if keep_alive_ms >= 2000 else keep_alive_ms // 2
        else:
            keep_alive_ms = setting(self.agent, "idle_ms", 10_000)
        connection.idle_until_ms = now_ms(self.agent) + keep_alive_ms
        connection.resume()
        self.idle.append(connection)
        if self.waiting:
            self.agent.reactor.callLater(0, self.assign_connections)

    def remove(self, connection):
        """Remove a closed connection."""
        self.open_count -= 1
        if connection in self.idle:
            self.idle.remove(connection)
        self.assign_connections()

    def take_idle(self):
        """Return a usable idle connection, or None."""
        now = now_ms(self.agent)
        while self.idle:
            connection = self.idle.pop()
            if connection.idle_until_ms > now and not connection.is_stale():
                return connection
            connection.abort()
        return None

    def assign_connections(self):
        """Assign idle connections to waiting exchanges and open more connections if needed."""
        while self.waiting:
            if self.waiting[0].has_ended:
                self.waiting.popleft()
                continue
            connection = self.take_idle()
            if connection is None:
                break
            write_request(self, self.waiting.popleft(), connection)
        needed = sum(1 for exchange in self.waiting if not exchange.has_ended)
        while self.opening_count < needed and self.open_count + self.opening_count < max_connections(
            self.agent, self.runner
        ):
            self.connect()

    def connect(self):
        """Open one more connection."""
        self.opening_count += 1
        count(self.agent, "connects")
        endpoint = TCP4ClientEndpoint(
            self.agent.reactor,
            self.runner.host,
            self.runner.port,
            timeout=setting(self.agent, "connect_ms", 1000) / 1000,
        )
        factory = Factory.forProtocol(lambda: Connection(self))
        factory.noisy = False
        endpoint.connect(factory).addCallbacks(self._connected, self._connection_failed)

    def _connected(self, connection):
        self.opening_count -= 1
        self.open_count += 1
        self.release(connection)
        self.assign_connections()

    def _connection_failed(self, failure):
        self.opening_count -= 1
        while self.waiting:
            exchange = self.waiting.popleft()
            if not exchange.has_ended:
                return exchange.fail_unsent("connect")

    def close(self):
        """Close idle connections now and busy ones when their exchange completes."""
        self.closing = True
        idle, self.idle = self.idle, []
        for connection in idle:
            connection.abort()
        waiting, self.waiting = self.waiting, deque()
        for exchange in waiting:
            exchange.fail_unsent("gone")


def max_connections(agent, runner):
    """Return how many connections this daemon may open to a runner."""
    service = agent.routing.services.get(runner.service) if agent.routing is not None else None
    share = setting(agent, "connection_share", 0.5)
    return max(2, int(service.max_connections * share)) if service is not None else 2


def refusal_reason(agent, exchange):
    """Return the reason why the exchange may not be sent now, or an empty string."""
    runner = agent.runners.get(exchange.runner.id)
    if runner is None or runner.draining or (runner.host, runner.port) != (exchange.runner.host, exchange.runner.port):
        return "gone"
    if exchange.until_ms <= now_ms(agent):
        return "late"
    return "" if holds_lease(agent) else "lease"


def write_request(pool, exchange, connection):
    """Write a request, or end it as not sent if it may no longer be sent."""
    reason = refusal_reason(pool.agent, exchange)
    if reason:
        pool.release(connection)
        return exchange.fail_unsent(reason)
    exchange.write_to(connection)


def send(agent, runner, call, body, remaining_ms, listener):
    """Send a request to a runner over a pooled connection; returns its Exchange."""
    exchange = Exchange(agent, runner, call, body, now_ms(agent) + remaining_ms, listener)
    pool = agent.pools.get(runner.id)
    if pool is None:
        pool = agent.pools[runner.id] = Pool(agent, runner)
    reason = refusal_reason(agent, exchange)
    if reason or pool.closing or len(pool.waiting) >= MAX_WAITING:
        agent.reactor.callLater(0, exchange.fail_unsent, reason or "full")
        return exchange
    connection = pool.take_idle()
    if connection is not None:
        write_request(pool, exchange, connection)
    else:
        pool.waiting.append(exchange)
        pool.assign_connections()
    return exchange


def close_pools(agent, runner_ids):
    """Close the connections to runners that are draining or gone."""
    for runner_id in runner_ids:
        pool = agent.pools.pop(runner_id, None)
        if pool is not None:
            pool.close()


def close_expired(agent):
    """Close idle connections that have expired."""
    now = now_ms(agent)
    for pool in agent.pools.values():
        for connection in [c for c in pool.idle if c.idle_until_ms <= now]:
            pool.idle.remove(connection)
            connection.abort()
