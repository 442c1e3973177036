"""A simulated network: hosts, cut links, delays and connects."""

from twisted.internet.error import ConnectionRefusedError, TimeoutError, UserError
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from . import wires


class Net:
    """All hosts and the links between them."""

    __slots__ = ("clock", "random", "hosts", "cuts", "serial", "connects")

    def __init__(self, random):
        self.clock, self.random, self.hosts = Clock(), random, {}
        self.cuts, self.serial, self.connects = set(), 30000, 0

    def barred(self, here, there):
        """Tell whether the link from one address to another is cut."""
        return (here, there) in self.cuts

    def link_delay_s(self, here, there):
        """Return a random delay of a link in seconds."""
        a, b = self.hosts.get(here), self.hosts.get(there)
        base_ms = 0.5 if a and b and a.zone != b.zone else 0.1
        return (base_ms + self.random.expovariate(5)) / 1000


def connect(net, host, address, port, factory, wait_s):
    """Start a connect and return its connector."""
    connector = Connector(net, host, (address, port), factory, wait_s)
    connector.connect()
    return connector


class Connector:
    """One connect, with the interface of Twisted's connectors."""

    __slots__ = ("net", "host", "there", "factory", "wait_s", "life", "state", "wire", "end_s")

    def __init__(self, net, host, there, factory, wait_s):
        self.net, self.host, self.there, self.factory, self.wait_s = net, host, there, factory, wait_s
        self.life, self.state, self.wire, self.end_s = host.life, "new", None, 0.0

    def connect(self):
        """Start the connect."""
        self.state, self.end_s = "connecting", self.net.clock.seconds() + self.wait_s
        self.net.connects += 1
        self.factory.doStart()
        self.factory.startedConnecting(self)
        self.net.clock.callLater(self.net.link_delay_s(self.host.address, self.there[0]), self.arrive)

    def stopConnecting(self):
        """Give the connect up."""
        self.fail(UserError())

    def disconnect(self):
        """Give the connect up, or close the connection."""
        if self.state == "connecting":
            self.stopConnecting()
        elif self.wire is not None:
            self.wire.loseConnection()

    def getDestination(self):
        """Return the address to connect to."""
        return self.there

    def fail(self, reason):
        """Fail the connect."""
        if self.state in ("connecting", "answered") and self.life == self.host.life:
            self.state = "failed"
            self.host.enter(self.factory.clientConnectionFailed, self, Failure(reason))

    def arrive(self):
        """Reach the other host: refused, accepted, or tried again if it is silent."""
        if self.state != "connecting" or self.life != self.host.life or not self.host.alive:
            return
        target = self.net.hosts.get(self.there[0])
        here, there = self.host.address, self.there[0]
        silent = target is None or not target.powered
        if silent or self.net.barred(here, there) or self.net.barred(there, here):
            return self.again()
        port = target.ports.get(self.there[1]) if target.alive else None
        if port is None:
            return self.fail(ConnectionRefusedError())
        self.net.serial += 1
        mine = wires.Wire(self.net, self.host, (here, self.net.serial), self.there)
        other = wires.Wire(self.net, target, self.there, (here, self.net.serial))
        mine.other, other.other, self.wire, self.state = other, mine, mine, "answered"
        target.enter(serve, port.factory, other)
        self.net.clock.callLater(self.net.link_delay_s(there, here), self.made)

    def again(self):
        """Try again until the timeout."""
        if self.net.clock.seconds() >= self.end_s:
            return self.fail(TimeoutError())
        self.net.clock.callLater(min(0.1, self.wait_s / 4), self.arrive)

    def made(self):
        """Learn that the connect was accepted."""
        self.host.enter(self.begin)

    def begin(self):
        """Start the protocol."""
        if self.life != self.host.life:
            return
        if self.state != "answered":
            return self.wire.abortConnection()
        self.state = "connected"
        self.wire.protocol = self.factory.buildProtocol(self.wire.getPeer())
        if self.wire.protocol is None or not self.wire.connected:
            self.state = "connecting"
            return self.fail(ConnectionRefusedError())
        self.wire.protocol.makeConnection(self.wire)


def serve(factory, wire):
    """Start the protocol of an accepted connection."""
    wire.protocol = factory.buildProtocol(wire.getPeer())
    if wire.protocol is None:
        wire.abortConnection()
    else:
        wire.protocol.makeConnection(wire)
