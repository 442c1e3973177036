"""Frames between daemons: the listening side, and the links of the sending side."""

from msgspec import DecodeError, Struct, msgpack
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.protocol import Factory
from twisted.protocols.basic import Int32StringReceiver

from frostpost.virtual_synchrony.agent_messages import GetBodiesReply, PutBodyRequest, RoutingUpdate
from frostpost.virtual_synchrony.config_messages import ConfigBodyChunk
from frostpost.virtual_synchrony.frames import FRAME_VERSION, Frame
from frostpost.virtual_synchrony.messages import SnapshotChunk

from .context import count
from .event_loop import on_frame
from .outgoing_link import MAX_FRAME_BYTES, Link
from .structured_log import log_event

encode = msgpack.Encoder().encode
decode = msgpack.Decoder(Frame).decode
BULK = (SnapshotChunk, ConfigBodyChunk, PutBodyRequest, GetBodiesReply, RoutingUpdate)


class FrameReader(Int32StringReceiver):
    """Protocol of the listening side: decodes frames and hands on those that are meant for this daemon."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def stringReceived(self, data):
        """Decode a frame and hand it on; frames that are not understood end the connection."""
        ctx = self.factory.ctx
        try:
            frame = decode(data)
        except DecodeError:
            count(ctx, "unread_frames")
            self.transport.loseConnection()
            return
        if frame.version != FRAME_VERSION:
            count(ctx, "other_versions")
            log_event("OtherVersion", frm=frame.endpoint.member.name, version=frame.version)
            self.transport.loseConnection()
            return
        if frame.to not in ("", ctx.endpoint.member.name) or is_link_cut(ctx, frame.endpoint.member.name):
            count(ctx, "misdirected")
            return
        links = ctx.links.get("send")
        if isinstance(links, Links):
            links.heard(frame.endpoint)
        self.factory.hear(ctx, frame)


def is_link_cut(ctx, name):
    """Tell whether a test hook cuts the link to a daemon."""
    return name in ctx.hooks.cut


def listen(ctx, hear=on_frame):
    """Listen for peers; Deferred of the port."""
    factory = Factory.forProtocol(FrameReader)
    factory.ctx, factory.hear = ctx, hear
    settings = ctx.settings
    return TCP4ServerEndpoint(ctx.reactor, settings.port, interface=settings.host).listen(factory)


class LastHeard(Struct, frozen=True):
    """Which process spoke last from an address, and when."""

    incarnation: int
    at_s: float


class Links:
    """Sends frames by a daemon's name or by "@host:port"; bulk goes over links of its own."""

    def __init__(self, ctx):
        self.ctx, self.links, self.last_heard = ctx, {}, {}

    def __call__(self, to, body):
        """Queue a message for a daemon by name, or for "@host:port"."""
        if to.startswith("@"):
            host, _, port = to[1:].rpartition(":")
            name = ""
        else:
            peer = self.ctx.core.synchrony.peers.get(to)
            if peer is None or is_link_cut(self.ctx, to):
                return
            host, port, name = peer.endpoint.host, peer.endpoint.port, to
        key = (host, int(port), isinstance(body, BULK))
        link = self.links.get(key)
        if link is None:
            link = self.links[key] = Link(self.ctx, host, int(port))
        link.send(encode(Frame(FRAME_VERSION, self.ctx.endpoint, name, body)))

    def heard(self, endpoint):
        """A frame came from a place: what is pending or dead on the way there is dialled anew."""
        found = [
            self.links[k] for k in ((endpoint.host, endpoint.port, bulk) for bulk in (False, True)) if k in self.links
        ]
        if not found:
            return
        address, incarnation = (endpoint.host, endpoint.port), endpoint.member.incarnation
        before = self.last_heard.get(address)
        self.last_heard[address] = LastHeard(incarnation, self.ctx.reactor.seconds())
        for link in found:
            if before is not None and before.incarnation != incarnation:
                link.restarted(before.at_s)
            link.heard()


def sender(ctx):
    """The function (to, body) by which a daemon sends; it keeps the links."""
    return Links(ctx)
