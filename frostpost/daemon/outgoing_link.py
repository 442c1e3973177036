"""An outgoing connection to another daemon, which is opened when there is something to send."""

import socket
from collections import deque
from math import inf

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IWriteDescriptor
from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import Int32StringReceiver

from .context import count
from .structured_log import log_event

MAX_FRAME_BYTES = 64 << 20
# Bytes of queued frames from which on further ones are dropped.
MAX_QUEUE_BYTES = 8 << 20
# Larger frames are handed to the transport in chunks of this size.
WRITE_CHUNK_BYTES = 128 << 10
# Least time between two log events on frames dropped by one link.
DROP_LOG_INTERVAL_S = 5.0
# Divisors of the failure detection time: for the least time between attempts that are triggered by received frames, and
# for the backoff after a failed attempt.
RECONNECTS_PER_DETECTION = 5
BACKOFFS_PER_DETECTION = 10


def detect_s(ctx):
    """Return the failure detection time in seconds, from which all timeouts of a link derive."""
    bounds = getattr(ctx.settings, "bounds", ctx.settings)
    return bounds.detect_ms / 1000


def set_user_timeout(transport, timeout_s):
    """Let the kernel close a connection on which sent data stays unacknowledged for `timeout_s`."""
    handle = getattr(transport, "getHandle", lambda: None)()
    if hasattr(handle, "setsockopt"):
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(timeout_s * 1000))


class FrameWriter(Int32StringReceiver):
    """Protocol of an outgoing connection; sends the link's frames while the transport accepts data."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, link):
        self.link = link

    def connectionMade(self):
        """Send the queued frames."""
        self.transport.setTcpNoDelay(True)
        set_user_timeout(self.transport, 2 * detect_s(self.link.ctx))
        self.transport.registerProducer(self, True)
        self.link.on_open(self)

    def pauseProducing(self):
        """Stop sending while the transport's buffer is full."""
        self.link.paused = True

    def resumeProducing(self):
        """Resume sending."""
        self.link.paused = False
        self.link.flush()

    def stopProducing(self):
        """Stop sending."""
        self.link.paused = True

    def connectionLost(self, reason=connectionDone):
        """Reset the link, unless it uses a newer connection by now."""
        if self.link.writer is self:
            self.link.reset()


def write_immediately(transport):
    """Write the transport's buffer to the socket now instead of in the reactor's next iteration.

    Data that the kernel doesn't accept stays buffered, and an error is reported again when the reactor polls the
    socket.
    """
    if IWriteDescriptor.providedBy(transport):
        transport.doWrite()


class Link:
    """A queue of frames for one address, and the connection that sends them.

    Connecting to a machine without power gets no reply, and the kernel sends the SYN again only after a second. The
    connection timeout is therefore short, and an attempt is restarted when a frame from the other end arrives.
    """

    __slots__ = (
        "ctx", "host", "port", "writer", "paused", "queue", "queued_bytes",
        "attempt", "backoff", "reconnect", "attempted_s", "opened_s", "dropped_frames", "dropped_s", "drop_logged_s",
        "written_bytes",
    )  # fmt: skip

    def __init__(self, ctx, host, port):
        self.ctx, self.host, self.port = ctx, host, port
        self.writer, self.paused, self.queue, self.queued_bytes = None, True, deque(), 0
        self.attempt, self.backoff, self.reconnect, self.attempted_s, self.opened_s = None, None, None, 0.0, 0.0
        self.dropped_frames, self.dropped_s, self.drop_logged_s = 0, -inf, -inf
        self.written_bytes = 0

    def send(self, data):
        """Queue an encoded frame, or drop it if the queue is full; the protocol repeats lost frames by timers.

        A frame of any size up to MAX_FRAME_BYTES is queued while the frames before it take less than MAX_QUEUE_BYTES,
        so that a repeated frame is sent once the link has had time to empty its queue.
        """
        if self.queued_bytes >= MAX_QUEUE_BYTES or len(data) > MAX_FRAME_BYTES:
            self.drop(len(data))
            return
        self.queue.append(data)
        self.queued_bytes += len(data)
        if self.writer is None:
            self.connect()
        elif not self.paused:
            self.flush()

    def drop(self, frame_bytes):
        """Count a dropped frame, and log it unless this link has logged one recently."""
        count(self.ctx, "link_full")
        self.dropped_frames += 1
        self.dropped_s = self.ctx.reactor.seconds()
        if self.dropped_s - self.drop_logged_s >= DROP_LOG_INTERVAL_S:
            self.drop_logged_s = self.dropped_s
            log_event(
                "FrameDropped",
                to=f"{self.host}:{self.port}",
                bytes=frame_bytes,
                queued_bytes=self.queued_bytes,
                dropped=self.dropped_frames,
            )

    def flush(self):
        """Send queued frames while the transport accepts them."""
        if not self.queue or self.writer is None or self.paused:
            return
        while self.queue and self.writer is not None and not self.paused:
            self.write_next()
        if self.writer is not None and not self.paused:
            write_immediately(self.writer.transport)

    def write_next(self):
        """Write the first queued frame to the transport, a large one chunk by chunk.

        Links that send the same large frame thus share its bytes; a transport would copy what it is given as a whole.
        """
        frame = self.queue[0]
        if len(frame) <= WRITE_CHUNK_BYTES:
            self.remove_first()
            self.writer.sendString(frame)
            return
        transport, start = self.writer.transport, self.written_bytes
        chunk = frame[start : start + WRITE_CHUNK_BYTES]
        self.written_bytes += len(chunk)
        if self.written_bytes == len(frame):
            self.remove_first()
        transport.write(chunk if start else len(frame).to_bytes(FrameWriter.prefixLength, "big") + chunk)

    def remove_first(self):
        """Remove the first frame from the queue."""
        self.queued_bytes -= len(self.queue.popleft())
        self.written_bytes = 0

    def connect(self):
        """Connect, unless an attempt is in progress or the last one failed within the backoff."""
        if self.attempt is not None or self.backoff is not None:
            return
        self.attempted_s = self.ctx.reactor.seconds()
        factory = Factory.forProtocol(lambda: FrameWriter(self))
        factory.noisy = False
        endpoint = TCP4ClientEndpoint(self.ctx.reactor, self.host, self.port, timeout=detect_s(self.ctx))
        self.attempt = endpoint.connect(factory)
        self.attempt.addCallbacks(self.on_connected, self.on_connect_failed)

    def on_open(self, writer):
        """Use a newly opened connection and send the queued frames."""
        self.writer, self.paused, self.opened_s = writer, False, self.ctx.reactor.seconds()
        self.flush()

    def on_connected(self, _):
        """Clear the finished attempt."""
        self.attempt = None

    def on_connect_failed(self, _):
        """Drop the queued frames and start the backoff."""
        self.reset()
        self.backoff = self.ctx.reactor.callLater(detect_s(self.ctx) / BACKOFFS_PER_DETECTION, self.end_backoff)

    def end_backoff(self):
        """Allow the next attempt."""
        self.backoff = None

    def reset(self):
        """Drop the connection and the queued frames."""
        self.writer, self.paused, self.attempt = None, True, None
        self.queue.clear()
        self.queued_bytes = self.written_bytes = 0

    def on_peer_heard(self):
        """Schedule a reconnect after a frame from the other end, if the link is not connected.

        Attempts that are started this way are at least a fraction of the failure detection time apart.
        """
        if self.writer is not None or self.reconnect is not None:
            return
        elapsed_s = self.ctx.reactor.seconds() - self.attempted_s
        delay_s = max(0.0, detect_s(self.ctx) / RECONNECTS_PER_DETECTION - elapsed_s)
        self.reconnect = self.ctx.reactor.callLater(delay_s, self.connect_anew)

    def connect_anew(self):
        """Cancel a pending attempt or backoff and connect now."""
        self.reconnect = None
        if self.writer is not None:
            return
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.cancel()
        if self.backoff is not None:
            self.backoff.cancel()
            self.backoff = None
        self.connect()

    def on_peer_restarted(self, last_heard_s):
        """Abort a connection to the earlier process of the other end, which was last heard at `last_heard_s`."""
        writer = self.writer
        if writer is not None and self.opened_s <= last_heard_s:
            self.reset()
            writer.transport.abortConnection()
