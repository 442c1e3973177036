"""Simulated TCP connections that report a local abort asynchronously and retransmit with backoff."""

import socket

from twisted.internet.error import ConnectionLost, ConnectionRefusedError, TimeoutError
from twisted.python.failure import Failure

from frostpost.simulator import connections, data_transfer
from frostpost.simulator import net as nets

FIRST_RETRY_S, CONNECT_RETRY_S = 0.2, 1.0


class SocketHandle:
    """Socket handle that supports the options set by the daemons."""

    def __init__(self, wire):
        self.wire = wire

    def setsockopt(self, level, option, value):
        if (level, option) == (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT):
            self.wire.send_timeout_s = value / 1000


class RetransmittingWire(connections.Connection):
    __slots__ = ()

    def getHandle(self):
        return SocketHandle(self)

    def retry_delay_s(self):
        """Return the retransmission delay: doubled on each retry, capped by the remaining TCP user timeout."""
        left_s = self.send_timeout_s - self.stalled_s
        return min(max(FIRST_RETRY_S, self.stalled_s), max(0.0, left_s) + 0.001)

    def abortConnection(self):
        if not self.connected:
            return
        self.net.clock.callLater(
            self.net.link_delay_s(self.local_address[0], self.remote_address[0]),
            data_transfer.reset_peer,
            self,
            self.peer,
        )
        self.connected = False
        self.send_buffer.clear()
        if self in self.host.connections:
            self.host.connections.remove(self)
        if self.generation == self.host.generation:
            self.host.callLater(0, data_transfer.notify_closed, self, Failure(ConnectionLost()))


class RetryingConnector(nets.Connector):
    __slots__ = ()

    def retry(self):
        """Retransmit the SYN after CONNECT_RETRY_S, or fail once the connect timeout has passed."""
        wait_s = min(CONNECT_RETRY_S, self.deadline_s - self.net.clock.seconds())
        if wait_s <= 0:
            return self.fail(TimeoutError())
        return self.net.clock.callLater(wait_s, self.reach_target)

    def reach_target(self):
        if self.state != "connecting" or self.generation != self.host.generation or not self.host.alive:
            return None
        here, there = self.host.address, self.remote_address[0]
        target = self.net.hosts.get(there)
        if target is None or not target.powered or self.net.is_cut(here, there) or self.net.is_cut(there, here):
            return self.retry()
        port = target.ports.get(self.remote_address[1]) if target.alive else None
        if port is None:
            return self.fail(ConnectionRefusedError())
        self.net.last_port += 1
        local = RetransmittingWire(self.net, self.host, (here, self.net.last_port), self.remote_address)
        remote = RetransmittingWire(self.net, target, self.remote_address, (here, self.net.last_port))
        local.peer, remote.peer, self.connection, self.state = remote, local, local, "answered"
        target.dispatch(nets.accept, port.factory, remote)
        self.net.clock.callLater(self.net.link_delay_s(there, here), self.on_accepted)
        return None


def connect(net, host, address, port, factory, wait_s):
    connector = RetryingConnector(net, host, (address, port), factory, wait_s)
    connector.connect()
    return connector
