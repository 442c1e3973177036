"""Ends of simulated TCP connections and listening ports, with the interfaces of Twisted's transports."""

from collections import deque

from twisted.internet.address import IPv4Address
from twisted.internet.defer import succeed
from twisted.internet.error import CannotListenError, ConnectionLost
from twisted.internet.interfaces import IConsumer, IPushProducer, ITCPTransport
from zope.interface import implementer

from .data_transfer import KERNEL_BUFFER_BYTES, RETRY_DELAY_S, SEND_TIMEOUT_S, reset, schedule_transfer


@implementer(ITCPTransport, IConsumer, IPushProducer)
class Connection:
    """One end of a connection; `peer` is the other end."""

    __slots__ = (
        "net",
        "host",
        "generation",
        "local_address",
        "remote_address",
        "peer",
        "protocol",
        "send_buffer",
        "buffered_bytes",
        "transfer_scheduled",
        "closing",
        "connected",
        "producer",
        "streaming",
        "producer_paused",
        "paused",
        "reading",
        "fin",
        "stalled_s",
        "send_timeout_s",
        "__weakref__",
    )

    def __init__(self, net, host, local_address, remote_address):
        self.net, self.host, self.generation, self.local_address, self.remote_address = (
            net,
            host,
            host.generation,
            local_address,
            remote_address,
        )
        self.peer = self.protocol = self.producer = None
        self.send_buffer, self.buffered_bytes, self.transfer_scheduled, self.closing, self.connected = (
            deque(),
            0,
            False,
            False,
            True,
        )
        self.streaming = self.producer_paused = self.fin = False
        self.paused, self.reading, self.stalled_s, self.send_timeout_s = False, True, 0.0, SEND_TIMEOUT_S
        host.connections.append(self)

    @property
    def disconnecting(self):
        """Whether the connection is being closed."""
        return self.closing

    @property
    def finishing(self):
        """Whether the connection is closing and its producer has nothing more to write."""
        return self.closing and (self.producer is None or self.streaming and not self.producer_paused)

    def retry_delay_s(self):
        """Return the delay in seconds before the kernel retransmits unacknowledged data."""
        return RETRY_DELAY_S

    def write(self, data):
        """Buffer data for sending; pause the producer if the buffer is full."""
        if not self.connected or self.finishing or not data:
            return
        self.send_buffer.append(bytes(data))
        self.buffered_bytes += len(data)
        if self.producer is not None and self.buffered_bytes > KERNEL_BUFFER_BYTES and not self.producer_paused:
            self.producer_paused = True
            self.producer.pauseProducing()
        schedule_transfer(self)

    def writeSequence(self, parts):
        """Buffer several byte strings for sending."""
        self.write(b"".join(parts))

    def loseConnection(self):
        """Close the connection once all buffered data is sent."""
        if self.connected and not self.closing:
            self.closing = True
            schedule_transfer(self)

    def loseWriteConnection(self):
        """Close the connection; half-closed connections are not simulated."""
        self.loseConnection()

    def abortConnection(self):
        """Reset the connection."""
        if self.connected:
            reset(self, ConnectionLost())

    def registerProducer(self, producer, streaming):
        """Register a producer, which is paused while the buffer is full."""
        if not self.connected:
            producer.stopProducing()
            return
        self.producer, self.streaming, self.producer_paused = producer, streaming, False
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self):
        """Unregister the producer."""
        self.producer = None
        schedule_transfer(self)

    def pauseProducing(self):
        """Stop reading from the peer."""
        self.reading = False

    def resumeProducing(self):
        """Resume reading from the peer."""
        if not self.reading:
            self.reading = True
            if self.peer is not None:
                schedule_transfer(self.peer)

    def stopProducing(self):
        """Close the connection."""
        self.loseConnection()

    def stopConsuming(self):
        """Unregister the producer and close the connection."""
        self.unregisterProducer()
        self.loseConnection()

    def getPeer(self):
        """Return the address of the remote end."""
        return IPv4Address("TCP", *self.remote_address)

    def getHost(self):
        """Return the address of the local end."""
        return IPv4Address("TCP", *self.local_address)

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
