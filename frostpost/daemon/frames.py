"""Frames between daemons: the listening port, and the outgoing links by address."""

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
BULK_MESSAGES = (SnapshotChunk, ConfigBodyChunk, PutBodyRequest, GetBodiesReply, RoutingUpdate)


class FrameReader(Int32StringReceiver):
    """Protocol of an incoming connection; decodes frames and dispatches those addressed to this daemon."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def stringReceived(self, data):
        """Decode and dispatch a frame; a frame of another version or that can't be decoded closes the connection."""
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
            links.on_peer_heard(frame.endpoint)
        self.factory.handler(ctx, frame)


def is_link_cut(ctx, name):
    """Return whether a test hook cuts the link to the named daemon."""
    return name in ctx.hooks.cut


def listen(ctx, handler=on_frame):
    """Listen for peers; return a Deferred that fires with the port. `handler(ctx, frame)` is called for each frame."""
    factory = Factory.forProtocol(FrameReader)
    factory.ctx, factory.handler = ctx, handler
    settings = ctx.settings
    return TCP4ServerEndpoint(ctx.reactor, settings.port, interface=settings.host).listen(factory)


class LastHeard(Struct, frozen=True):
    """The process that last sent a frame from an address, and when."""

    incarnation: int
    at_s: float


class Links:
    """Sends messages to daemons, addressed by name or as "@host:port"; bulk messages use separate connections."""

    def __init__(self, ctx):
        self.ctx, self.links, self.last_heard = ctx, {}, {}
        self.shared_message, self.shared_frame = None, b""

    def __call__(self, to, body):
        """Queue a message for a daemon; it is dropped if the name is unknown."""
        if to.startswith("@"):
            host, _, port = to[1:].rpartition(":")
            name = ""
        else:
            peer = self.ctx.core.synchrony.peers.get(to)
            if peer is None or is_link_cut(self.ctx, to):
                return
            host, port, name = peer.endpoint.host, peer.endpoint.port, to
        key = (host, int(port), isinstance(body, BULK_MESSAGES))
        link = self.links.get(key)
        if link is None:
            link = self.links[key] = Link(self.ctx, host, int(port))
        link.send(self.encode_frame(name, body))

    def encode_frame(self, name, body):
        """Return the encoded frame; frames of the same RoutingUpdate, which goes to all agents, share their bytes."""
        if name or not isinstance(body, RoutingUpdate):
            return encode(Frame(FRAME_VERSION, self.ctx.endpoint, name, body))
        if body is not self.shared_message:
            self.shared_message, self.shared_frame = body, encode(Frame(FRAME_VERSION, self.ctx.endpoint, name, body))
        return self.shared_frame

    def recent_drops(self, period_s):
        """Return how many frames were dropped, by "host:port" of the links that dropped any in the last `period_s`."""
        since_s, drops = self.ctx.reactor.seconds() - period_s, {}
        for (host, port, _), link in self.links.items():
            if link.dropped_s >= since_s:
                address = f"{host}:{port}"
                drops[address] = drops.get(address, 0) + link.dropped_frames
        return drops

    def on_peer_heard(self, endpoint):
        """Reconnect links to a peer from which a frame arrived, if they are pending or lead to an earlier process."""
        peer_links = [
            self.links[k] for k in ((endpoint.host, endpoint.port, bulk) for bulk in (False, True)) if k in self.links
        ]
        if not peer_links:
            return
        address, incarnation = (endpoint.host, endpoint.port), endpoint.member.incarnation
        previous = self.last_heard.get(address)
        self.last_heard[address] = LastHeard(incarnation, self.ctx.reactor.seconds())
        for link in peer_links:
            if previous is not None and previous.incarnation != incarnation:
                link.on_peer_restarted(previous.at_s)
            link.on_peer_heard()


def make_links(ctx):
    """Return the Links of a daemon, a callable that takes the destination and the message."""
    return Links(ctx)
