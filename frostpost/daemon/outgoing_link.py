"""One outgoing connection to another daemon, dialled when there is something to send."""

import socket
from collections import deque

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IWriteDescriptor
from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import Int32StringReceiver

from .context import count

MAX_FRAME_BYTES = 64 << 20
QUEUE_BYTES = 8 << 20
HEARTBEATS = 5
RESTS = 10


def detect_s(ctx):
    """The failure detection time of this daemon's settings, to which all times of a link are ratios."""
    bounds = getattr(ctx.settings, "bounds", ctx.settings)
    return bounds.detect_ms / 1000


def set_user_timeout(transport, silence_s):
    """Let the kernel give a connection up whose bytes nobody acknowledges."""
    handle = getattr(transport, "getHandle", lambda: None)()
    if hasattr(handle, "setsockopt"):
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(silence_s * 1000))


class FrameWriter(Int32StringReceiver):
    """Protocol of the dialling side: frames go out as long as the transport takes them."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, link):
        self.link = link

    def connectionMade(self):
        """Start to send what is queued."""
        self.transport.setTcpNoDelay(True)
        set_user_timeout(self.transport, 2 * detect_s(self.link.ctx))
        self.transport.registerProducer(self, True)
        self.link.opened(self)

    def pauseProducing(self):
        """Stop sending while the connection's buffer is full."""
        self.link.paused = True

    def resumeProducing(self):
        """Send again."""
        self.link.paused = False
        self.link.drain()

    def stopProducing(self):
        """Stop sending."""
        self.link.paused = True

    def connectionLost(self, reason=connectionDone):
        """Drop what is queued, unless another connection has taken over."""
        if self.link.writer is self:
            self.link.lost()


def write_through(transport):
    """Hand the kernel what the transport has buffered now, which spares the reactor a round for it.

    What the kernel doesn't take stays buffered, and an error comes up again when the reactor looks at the socket.
    """
    if IWriteDescriptor.providedBy(transport):
        transport.doWrite()


class Link:
    """A queue of frames to one address and the connection that carries them.

    An attempt to connect to a machine without power gets no answer, and the kernel repeats its first packet only after
    a second. So an attempt is short, and it is begun anew as soon as the other end is heard.
    """

    __slots__ = (
        "ctx", "host", "port", "writer", "paused", "queue", "queued_bytes",
        "attempt", "rest", "redial", "dialled_s", "opened_s",
    )  # fmt: skip

    def __init__(self, ctx, host, port):
        self.ctx, self.host, self.port = ctx, host, port
        self.writer, self.paused, self.queue, self.queued_bytes = None, True, deque(), 0
        self.attempt, self.rest, self.redial, self.dialled_s, self.opened_s = None, None, None, 0.0, 0.0

    def send(self, data):
        """Queue an encoded frame; a full queue drops it, since all frames are repeated by timers."""
        if self.queued_bytes + len(data) > QUEUE_BYTES:
            count(self.ctx, "link_full")
            return
        self.queue.append(data)
        self.queued_bytes += len(data)
        if self.writer is None:
            self.connect()
        elif not self.paused:
            self.drain()

    def drain(self):
        """Send what is queued as long as the connection takes it."""
        if not self.queue or self.writer is None or self.paused:
            return
        while self.queue and self.writer is not None and not self.paused:
            data = self.queue.popleft()
            self.queued_bytes -= len(data)
            self.writer.sendString(data)
        if self.writer is not None and not self.paused:
            write_through(self.writer.transport)

    def connect(self):
        """Dial unless an attempt is pending or the last one has just failed."""
        if self.attempt is not None or self.rest is not None:
            return
        self.dialled_s = self.ctx.reactor.seconds()
        factory = Factory.forProtocol(lambda: FrameWriter(self))
        factory.noisy = False
        endpoint = TCP4ClientEndpoint(self.ctx.reactor, self.host, self.port, timeout=detect_s(self.ctx))
        self.attempt = endpoint.connect(factory)
        self.attempt.addCallbacks(self.connected, self.failed)

    def opened(self, writer):
        """A connection is open."""
        self.writer, self.paused, self.opened_s = writer, False, self.ctx.reactor.seconds()
        self.drain()

    def connected(self, _):
        """The attempt is over."""
        self.attempt = None

    def failed(self, _):
        """Drop the queue and rest before the next attempt."""
        self.lost()
        self.rest = self.ctx.reactor.callLater(detect_s(self.ctx) / RESTS, self.rested)

    def rested(self):
        """Allow the next attempt."""
        self.rest = None

    def lost(self):
        """Drop the connection and the queue."""
        self.writer, self.paused, self.attempt = None, True, None
        self.queue.clear()
        self.queued_bytes = 0

    def heard(self):
        """A frame came from the other end: dial anew, but not more often than heartbeats come."""
        if self.writer is not None or self.redial is not None:
            return
        age_s = self.ctx.reactor.seconds() - self.dialled_s
        wait_s = max(0.0, detect_s(self.ctx) / HEARTBEATS - age_s)
        self.redial = self.ctx.reactor.callLater(wait_s, self.dial_anew)

    def dial_anew(self):
        """Drop a pending attempt or the rest after a failed one, and dial now."""
        self.redial = None
        if self.writer is not None:
            return
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.cancel()
        if self.rest is not None:
            self.rest.cancel()
            self.rest = None
        self.connect()

    def restarted(self, heard_s):
        """The other end runs anew and its earlier process was last heard at `heard_s`: a connection to that is dead."""
        writer = self.writer
        if writer is not None and self.opened_s <= heard_s:
            self.lost()
            writer.transport.abortConnection()
