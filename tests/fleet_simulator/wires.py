"""Simulated TCP connections that report a local abort asynchronously and retransmit with backoff."""

import socket

from twisted.internet.error import ConnectionLost, ConnectionRefusedError, TimeoutError
from twisted.python.failure import Failure

from frostpost.simulator import net as nets
from frostpost.simulator import wire_flow, wires

FIRST_RETRY_S, CONNECT_RETRY_S = 0.2, 1.0


class SocketHandle:
    """Socket handle that supports the options set by the daemons."""

    def __init__(self, wire):
        self.wire = wire

    def setsockopt(self, level, option, value):
        if (level, option) == (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT):
            self.wire.patience_s = value / 1000


class RetransmittingWire(wires.Wire):
    __slots__ = ()

    def getHandle(self):
        return SocketHandle(self)

    def retry_s(self):
        """Return the retransmission delay: doubled on each retry, capped by the remaining TCP user timeout."""
        left_s = self.patience_s - self.stuck_s
        return min(max(FIRST_RETRY_S, self.stuck_s), max(0.0, left_s) + 0.001)

    def abortConnection(self):
        if not self.connected:
            return
        self.net.clock.callLater(
            self.net.link_delay_s(self.here[0], self.there[0]), wire_flow.reset_there, self, self.other
        )
        self.connected = False
        self.out.clear()
        if self in self.host.wires:
            self.host.wires.remove(self)
        if self.life == self.host.life:
            self.host.callLater(0, wire_flow.ended, self, Failure(ConnectionLost()))


class RetryingConnector(nets.Connector):
    __slots__ = ()

    def again(self):
        """Retransmit the SYN after CONNECT_RETRY_S, or fail once the connect timeout has passed."""
        wait_s = min(CONNECT_RETRY_S, self.end_s - self.net.clock.seconds())
        if wait_s <= 0:
            return self.fail(TimeoutError())
        return self.net.clock.callLater(wait_s, self.arrive)

    def arrive(self):
        if self.state != "connecting" or self.life != self.host.life or not self.host.alive:
            return None
        here, there = self.host.address, self.there[0]
        target = self.net.hosts.get(there)
        if target is None or not target.powered or self.net.barred(here, there) or self.net.barred(there, here):
            return self.again()
        port = target.ports.get(self.there[1]) if target.alive else None
        if port is None:
            return self.fail(ConnectionRefusedError())
        self.net.serial += 1
        local = RetransmittingWire(self.net, self.host, (here, self.net.serial), self.there)
        remote = RetransmittingWire(self.net, target, self.there, (here, self.net.serial))
        local.other, remote.other, self.wire, self.state = remote, local, local, "answered"
        target.enter(nets.serve, port.factory, remote)
        self.net.clock.callLater(self.net.link_delay_s(there, here), self.made)
        return None


def connect(net, host, address, port, factory, wait_s):
    connector = RetryingConnector(net, host, (address, port), factory, wait_s)
    connector.connect()
    return connector
