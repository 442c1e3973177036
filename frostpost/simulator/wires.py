from collections import deque

from twisted.internet.address import IPv4Address
from twisted.internet.defer import succeed
from twisted.internet.error import CannotListenError, ConnectionDone, ConnectionLost
from twisted.internet.interfaces import IConsumer, IPushProducer, ITCPTransport
from twisted.python.failure import Failure
from zope.interface import implementer

KERNEL = 65536
RETRY_S = 0.05
PATIENCE_S = 20.0


@implementer(ITCPTransport, IConsumer, IPushProducer)
class Wire:
    __slots__ = (
        "net",
        "host",
        "life",
        "here",
        "there",
        "other",
        "protocol",
        "out",
        "out_bytes",
        "busy",
        "closing",
        "connected",
        "producer",
        "streaming",
        "held",
        "paused",
        "reading",
        "fin",
        "stuck_s",
        "patience_s",
        "__weakref__",
    )

    def __init__(self, net, host, here, there):
        self.net, self.host, self.life, self.here, self.there = net, host, host.life, here, there
        self.other = self.protocol = self.producer = None
        self.out, self.out_bytes, self.busy, self.closing, self.connected = deque(), 0, False, False, True
        self.streaming = self.held = self.fin = False
        self.paused, self.reading, self.stuck_s, self.patience_s = False, True, 0.0, PATIENCE_S
        host.wires.append(self)

    @property
    def disconnecting(self):
        return self.closing

    @property
    def finishing(self):
        return self.closing and (self.producer is None or self.streaming and not self.held)

    def retry_s(self):
        """How long the kernel waits until it sends again what was not acknowledged."""
        return RETRY_S

    def write(self, data):
        if not self.connected or self.finishing or not data:
            return
        self.out.append(bytes(data))
        self.out_bytes += len(data)
        if self.producer is not None and self.out_bytes > KERNEL and not self.held:
            self.held = True
            self.producer.pauseProducing()
        pump(self)

    def writeSequence(self, parts):
        self.write(b"".join(parts))

    def loseConnection(self):
        if self.connected and not self.closing:
            self.closing = True
            pump(self)

    def loseWriteConnection(self):
        self.loseConnection()

    def abortConnection(self):
        if self.connected:
            reset(self, ConnectionLost())

    def registerProducer(self, producer, streaming):
        if not self.connected:
            producer.stopProducing()
            return
        self.producer, self.streaming, self.held = producer, streaming, False
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self):
        self.producer = None
        pump(self)

    def pauseProducing(self):
        self.reading = False

    def resumeProducing(self):
        if not self.reading:
            self.reading = True
            if self.other is not None:
                pump(self.other)

    def stopProducing(self):
        self.loseConnection()

    def stopConsuming(self):
        self.unregisterProducer()
        self.loseConnection()

    def getPeer(self):
        return IPv4Address("TCP", *self.there)

    def getHost(self):
        return IPv4Address("TCP", *self.here)

    def setTcpNoDelay(self, on):
        return None

    def getTcpNoDelay(self):
        return True

    def setTcpKeepAlive(self, on):
        return None

    def getTcpKeepAlive(self):
        return False


def pump(wire, delay_s=None):
    if wire.busy or not (wire.out or wire.finishing or wire.fin):
        return
    wire.busy = True
    wait_s = wire.net.link_delay_s(wire.here[0], wire.there[0]) if delay_s is None else delay_s
    wire.net.clock.callLater(wait_s, pumped, wire)


def passing(wire):
    return not wire.net.barred(wire.here[0], wire.there[0])


def pumped(wire):
    wire.busy = False
    other = wire.other
    if other is None:
        return
    target = other.host
    gone = target.life != other.life or not target.alive
    if not passing(wire) or gone and not target.powered:
        wait_s = wire.retry_s()
        wire.stuck_s += wait_s
        if wire.stuck_s > wire.patience_s:
            return lost(wire, ConnectionLost())
        return pump(wire, wait_s)
    wire.stuck_s = 0.0
    if gone or not other.connected:
        wire.out.clear()
        return lost(wire, ConnectionLost() if wire.out_bytes else ConnectionDone())
    if not other.reading or target.frozen:
        return pump(wire, RETRY_S) if target.frozen else None
    moved = 0
    while wire.out and moved < KERNEL and other.reading and other.connected:
        data = wire.out.popleft()
        moved += len(data)
        target.enter(received, other, data)
    wire.out_bytes -= moved
    drained(wire)
    if not wire.out and (wire.fin or wire.finishing):
        if wire.connected:
            lost(wire, ConnectionDone())
        return lost(other, ConnectionDone())
    pump(wire)


def drained(wire):
    if wire.producer is None or not wire.connected or wire.out_bytes > KERNEL // 2:
        return
    if wire.held or not wire.streaming:
        wire.held = False
        wire.host.enter(wire.producer.resumeProducing)


def received(wire, data):
    if wire.connected:
        wire.protocol.dataReceived(data)


def lost(wire, reason):
    if not wire.connected:
        return
    wire.connected = False
    wire.out.clear()
    if wire in wire.host.wires:
        wire.host.wires.remove(wire)
    if wire.life == wire.host.life:
        wire.host.enter(ended, wire, Failure(reason))


def ended(wire, failure):
    producer, wire.producer = wire.producer, None
    if producer is not None:
        producer.stopProducing()
    if wire.protocol is not None:
        wire.protocol.connectionLost(failure)


def reset(wire, reason):
    other = wire.other
    wire.net.clock.callLater(wire.net.link_delay_s(wire.here[0], wire.there[0]), reset_there, wire, other)
    lost(wire, reason)


def reset_there(wire, other):
    if other is not None and passing(wire):
        lost(other, ConnectionLost())


def orphan(wire, power):
    wire.connected = False
    if power:
        wire.out.clear()
        return
    kept = b"".join(wire.out)[:KERNEL]
    wire.out = deque([kept] if kept else ())
    wire.out_bytes, wire.fin, wire.producer = len(kept), True, None
    pump(wire)


class Port:
    __slots__ = ("host", "number", "factory")

    def __init__(self, host, number, factory):
        if number in host.ports:
            raise CannotListenError(host.address, number, "in use")
        self.host, self.number, self.factory = host, number, factory
        host.ports[number] = self
        factory.doStart()

    def getHost(self):
        return IPv4Address("TCP", self.host.address, self.number)

    def stopListening(self):
        if self.host.ports.get(self.number) is self:
            del self.host.ports[self.number]
            self.factory.doStop()
        return succeed(None)
