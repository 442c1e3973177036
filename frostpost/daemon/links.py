"""Links between daemons: length-prefixed msgpack frames over TCP, one connection per direction and kind."""

import socket
from collections import deque

from msgspec import DecodeError, msgpack
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP4ServerEndpoint
from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import Int32StringReceiver

from frostpost.virtual_synchrony.outer import RoutingTell, SiloGot, SiloPut
from frostpost.virtual_synchrony.words import VERSION, BodyPiece, Frame, Piece

from .context import count
from .heart import received
from .news import say

encode = msgpack.Encoder().encode
decode = msgpack.Decoder(Frame).decode
MOST = 64 << 20
QUEUED = 8 << 20
BULK = (Piece, BodyPiece, SiloPut, SiloGot, RoutingTell)
SILENT_MS = 1000


def end_silence(transport):
    """Let the kernel end a connection whose data stays unacknowledged."""
    handle = getattr(transport, "getHandle", lambda: None)()
    if hasattr(handle, "setsockopt"):
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_MS)


class Ear(Int32StringReceiver):
    """Receives frames from a peer."""

    MAX_LENGTH = MOST

    def stringReceived(self, data):
        """Decode a frame and hand it on; frames that are not understood end the connection."""
        ctx = self.factory.ctx
        try:
            frame = decode(data)
        except DecodeError:
            count(ctx, "unread_frames")
            self.transport.loseConnection()
            return
        if frame.version != VERSION:
            count(ctx, "other_versions")
            say("OtherVersion", frm=frame.place.member.name, version=frame.version)
            self.transport.loseConnection()
            return
        if frame.to not in ("", ctx.place.member.name) or barred(ctx, frame.place.member.name):
            count(ctx, "misdirected")
            return
        self.factory.hear(ctx, frame)


class Mouth(Int32StringReceiver):
    """Sends frames to a peer."""

    MAX_LENGTH = MOST

    def connectionMade(self):
        """Start to send what is queued."""
        self.transport.setTcpNoDelay(True)
        end_silence(self.transport)
        self.transport.registerProducer(self, True)
        self.link.mouth, self.link.paused = self, False
        self.link.drain()

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
        """Drop what is queued."""
        self.link.lost()


class Link:
    """A queue of frames for one address; it connects when there is something to send."""

    __slots__ = ("ctx", "host", "port", "mouth", "paused", "queue", "bytes", "connecting", "rest_ms")

    def __init__(self, ctx, host, port):
        self.ctx, self.host, self.port = ctx, host, port
        self.mouth, self.paused, self.connecting = None, True, False
        self.queue, self.bytes = deque(), 0

    def send(self, data):
        """Queue a frame, or drop it if the queue is full."""
        if self.bytes + len(data) > QUEUED:
            count(self.ctx, "link_full")
            return
        self.queue.append(data)
        self.bytes += len(data)
        if self.mouth is None:
            self.connect()
        elif not self.paused:
            self.drain()

    def drain(self):
        """Send what is queued as long as the connection takes it."""
        while self.queue and self.mouth is not None and not self.paused:
            data = self.queue.popleft()
            self.bytes -= len(data)
            self.mouth.sendString(data)

    def connect(self):
        """Open the connection, if it is not being opened."""
        if self.connecting:
            return
        self.connecting = True
        factory = Factory()

        def build(_):
            mouth = Mouth()
            mouth.link = self
            return mouth

        factory.buildProtocol = build
        endpoint = TCP4ClientEndpoint(self.ctx.reactor, self.host, self.port, timeout=1)
        endpoint.connect(factory).addCallbacks(self.connected, self.failed)

    def connected(self, _):
        """Note that the connection is open."""
        self.connecting = False

    def failed(self, _):
        """Drop the queue and wait before the next attempt."""
        self.lost()
        self.connecting = True
        self.ctx.reactor.callLater(0.2, self.rested)

    def rested(self):
        """Allow the next attempt to connect."""
        self.connecting = False

    def lost(self):
        """Drop the connection and the queue."""
        self.mouth, self.paused, self.connecting = None, True, False
        self.queue.clear()
        self.bytes = 0


def barred(ctx, name):
    """Tell whether a test hook cuts the link to a daemon."""
    return name in ctx.hooks.cut


def listen(ctx, hear=received):
    """Listen for peers; Deferred of the port."""
    factory = Factory.forProtocol(Ear)
    factory.ctx, factory.hear = ctx, hear
    settings = ctx.settings
    return TCP4ServerEndpoint(ctx.reactor, settings.port, interface=settings.host).listen(factory)


def sender(ctx):
    """Return a function (to, body) that sends a message to a daemon by name, or to `@IP:port`."""
    links = {}

    def send(to, body):
        if to.startswith("@"):
            host, _, port = to[1:].rpartition(":")
            name = ""
        else:
            peer = ctx.core.synchrony.peers.get(to)
            if peer is None or barred(ctx, to):
                return
            host, port, name = peer.place.host, peer.place.port, to
        bulk = isinstance(body, BULK)
        key = (host, int(port), bulk)
        link = links.get(key)
        if link is None:
            link = links[key] = Link(ctx, host, int(port))
        link.send(encode(Frame(VERSION, ctx.place, name, body)))

    return send
