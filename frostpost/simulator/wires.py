"""Simulated TCP connections: buffers, flow control, delays, resets and power cuts."""

from collections import deque

from twisted.internet.address import IPv4Address
from twisted.internet.defer import succeed
from twisted.internet.error import CannotListenError, ConnectionLost
from twisted.internet.interfaces import IConsumer, IPushProducer, ITCPTransport
from zope.interface import implementer

from .wire_flow import KERNEL, PATIENCE_S, RETRY_S, pump, reset


@implementer(ITCPTransport, IConsumer, IPushProducer)
class Wire:
    """One end of a connection, with Twisted's transport interface."""

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
        """Whether the connection is being closed."""
        return self.closing

    @property
    def finishing(self):
        """Whether all was written and the end may be sent."""
        return self.closing and (self.producer is None or self.streaming and not self.held)

    def retry_s(self):
        """How long the kernel waits until it sends again what was not acknowledged."""
        return RETRY_S

    def write(self, data):
        """Queue bytes; pause the producer if the buffer is full."""
        if not self.connected or self.finishing or not data:
            return
        self.out.append(bytes(data))
        self.out_bytes += len(data)
        if self.producer is not None and self.out_bytes > KERNEL and not self.held:
            self.held = True
            self.producer.pauseProducing()
        pump(self)

    def writeSequence(self, parts):
        """Queue several byte strings."""
        self.write(b"".join(parts))

    def loseConnection(self):
        """Close once all is sent."""
        if self.connected and not self.closing:
            self.closing = True
            pump(self)

    def loseWriteConnection(self):
        """Close once all is sent."""
        self.loseConnection()

    def abortConnection(self):
        """Reset the connection."""
        if self.connected:
            reset(self, ConnectionLost())

    def registerProducer(self, producer, streaming):
        """Connect a producer for flow control."""
        if not self.connected:
            producer.stopProducing()
            return
        self.producer, self.streaming, self.held = producer, streaming, False
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self):
        """Disconnect the producer."""
        self.producer = None
        pump(self)

    def pauseProducing(self):
        """Stop reading."""
        self.reading = False

    def resumeProducing(self):
        """Read again."""
        if not self.reading:
            self.reading = True
            if self.other is not None:
                pump(self.other)

    def stopProducing(self):
        """Close the connection."""
        self.loseConnection()

    def stopConsuming(self):
        """Disconnect the producer and close."""
        self.unregisterProducer()
        self.loseConnection()

    def getPeer(self):
        """Return the other end's address."""
        return IPv4Address("TCP", *self.there)

    def getHost(self):
        """Return this end's address."""
        return IPv4Address("TCP", *self.here)

    def setTcpNoDelay(self, on):
        """Do nothing."""
        return None

    def getTcpNoDelay(self):
        """Return True."""
        return True

    def setTcpKeepAlive(self, on):
        """Do nothing."""
        return None

    def getTcpKeepAlive(self):
        """Return False."""
        return False


class Port:
    """A listening port."""

    __slots__ = ("host", "number", "factory")

    def __init__(self, host, number, factory):
        if number in host.ports:
            raise CannotListenError(host.address, number, "in use")
        self.host, self.number, self.factory = host, number, factory
        host.ports[number] = self
        factory.doStart()

    def getHost(self):
        """Return the port's address."""
        return IPv4Address("TCP", self.host.address, self.number)

    def stopListening(self):
        """Close the port."""
        if self.host.ports.get(self.number) is self:
            del self.host.ports[self.number]
            self.factory.doStop()
        return succeed(None)
