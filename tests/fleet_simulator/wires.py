"""Connections that tell of their own abort only in the next turn and send again as a kernel does."""

import socket

from twisted.internet.error import ConnectionLost, ConnectionRefusedError, TimeoutError
from twisted.python.failure import Failure

from frostpost.simulator import net as nets
from frostpost.simulator import wire_flow, wires

FIRST_RETRY_S, CONNECT_RETRY_S = 0.2, 1.0


class Handle:
    """A connection's socket, as far as the product sets options of it."""

    def __init__(self, wire):
        self.wire = wire

    def setsockopt(self, level, option, value):
        if (level, option) == (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT):
            self.wire.patience_s = value / 1000


class Strand(wires.Wire):
    __slots__ = ()

    def getHandle(self):
        return Handle(self)

    def retry_s(self):
        """Twice as long each time, and no longer than the connection's patience lasts."""
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


class Dialler(nets.Connector):
    __slots__ = ()

    def again(self):
        """A kernel sends its first packet again after a second."""
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
        mine = Strand(self.net, self.host, (here, self.net.serial), self.there)
        other = Strand(self.net, target, self.there, (here, self.net.serial))
        mine.other, other.other, self.wire, self.state = other, mine, mine, "answered"
        target.enter(nets.serve, port.factory, other)
        self.net.clock.callLater(self.net.link_delay_s(there, here), self.made)
        return None


def connect(net, host, address, port, factory, wait_s):
    dialler = Dialler(net, host, (address, port), factory, wait_s)
    dialler.connect()
    return dialler
