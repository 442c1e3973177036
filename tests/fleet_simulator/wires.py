"""Connections that tell of their own abort only in the next turn, as a real transport does."""

from twisted.internet.error import ConnectionLost, ConnectionRefusedError
from twisted.python.failure import Failure

from frostpost.simulator import net as nets
from frostpost.simulator import wire_flow, wires


class Strand(wires.Wire):
    __slots__ = ()

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
