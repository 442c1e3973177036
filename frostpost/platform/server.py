"""A bounded HTTP/1.1 server that the front, the readiness and the control address share."""

from socket import IPPROTO_TCP, TCP_USER_TIMEOUT

from twisted.protocols.basic import LineReceiver
from twisted.web.http import RESPONSES, HTTPChannel, HTTPFactory, Request

LINGER_S, BODY_IDLES, SILENT_PEER_MS = 2, 4, 10000
MOST_LENGTH_DIGITS = 18


def close_after(request):
    """Let the connection end with this request's answer."""
    request.responseHeaders.setRawHeaders(b"Connection", [b"close"])
    request.channel.persistent = False


def reply(request, status, body=b"", headers=(), close=False):
    """Answer whole, with a length."""
    if request.lost:
        return
    request.setResponseCode(status)
    for name, value in headers:
        request.responseHeaders.addRawHeader(name, value)
    request.responseHeaders.setRawHeaders(b"Content-Length", [b"%d" % len(body)])
    if close:
        close_after(request)
    request.write(body)
    request.finish()


class Exchange(Request):
    """One request, handed to the server's `handle` once it is read whole; `on_over(lost)` is called once."""

    on_over, lost, size, body, started_s = None, False, 0, b"", 0.0

    def parseCookies(self):
        """Cookies mean nothing here and are passed on as they came."""

    def gotLength(self, length):
        """The head is read: reject a body that is announced as too long."""
        self.chunks, self.started_s = [], self.channel.factory.reactor.seconds()
        if length is not None and length > self.channel.bounds.body_bytes:
            self.channel.turn_away(413)

    def handleContentChunk(self, data):
        """Collect the body, up to its bound."""
        self.size += len(data)
        if self.size <= self.channel.bounds.body_bytes:
            self.chunks.append(data)
        else:
            self.chunks.clear()
            self.channel.turn_away(413)

    def requestReceived(self, command, path, version):
        """The request is complete: hand it to the server's handler."""
        self.method, self.uri, self.clientproto = command, path, version
        self.path = path.partition(b"?")[0]
        self.body, self.chunks = b"".join(self.chunks), []
        self.channel.factory.handle(self)

    def finish(self):
        """The answer is complete."""
        self.over(False)
        super().finish()

    def connectionLost(self, reason):
        """The client has gone."""
        self.lost = True
        super().connectionLost(reason)
        self.over(True)

    def over(self, lost):
        """Call `on_over` once."""
        on_over, self.on_over = self.on_over, None
        if on_over is not None:
            on_over(lost)


class BoundedChannel(HTTPChannel):
    """A client's connection with bounds on heads, bodies and time; see `ClientBounds`."""

    requestFactory = Exchange
    turned = reading = in_head = False
    bounds, read_by_s = None, 0.0

    def connectionMade(self):
        """Set time-outs, and refuse the connection if there are too many."""
        self.take_bounds()
        self.timeOut = self.bounds.idle_ms / 1000
        super().connectionMade()
        handle = getattr(self.transport, "getHandle", None)
        if handle is not None:
            handle().setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, SILENT_PEER_MS)
        self.factory.channels.add(self)
        if len(self.factory.channels) > self.factory.most_channels:
            self.transport.abortConnection()

    def connectionLost(self, reason):
        """Forget the connection."""
        self.factory.channels.discard(self)
        super().connectionLost(reason)

    def take_bounds(self):
        """Take over the bounds in force, for the next request."""
        self.bounds = self.factory.bounds()
        self.totalHeadersSize = self.MAX_LENGTH = self.bounds.header_bytes

    def begin_reading(self):
        """The first byte of a head came: its time begins."""
        self.reading = self.in_head = True
        self.take_bounds()
        self.setTimeout(self.bounds.header_ms / 1000)

    def dataReceived(self, data):
        """Read, within the time that a head may take."""
        if self.turned:
            return None
        if not self._handlingRequest:
            if not self.reading:
                self.begin_reading()
            elif not self.in_head:
                self.resetTimeout()
                if self.factory.reactor.seconds() > self.read_by_s:
                    return self.turn_away(408)
        return LineReceiver.dataReceived(self, data)

    def lineReceived(self, line):
        """A line of the head; one that could be read in two ways is rejected."""
        if not self.reading:
            self.begin_reading()
        return super().lineReceived(line)

    def headerReceived(self, line):
        """A field of the head; one that could be read in two ways is rejected."""
        name, _, value = line.partition(b":")
        name, value = name.lower(), value.strip(b" \t")
        if name == b"transfer-encoding" and value.lower() != b"chunked":
            self.turn_away(400)
            return False
        if name == b"content-length" and len(value) > MOST_LENGTH_DIGITS:
            self.turn_away(413 if value.isdigit() else 400)
            return False
        return super().headerReceived(line)

    def allHeadersReceived(self):
        """The head is complete."""
        self.in_head, idle_s = False, self.bounds.idle_ms / 1000
        if self.length == 0:
            self.timeOut = idle_s
        else:
            self.setTimeout(idle_s)
            self.read_by_s = self.factory.reactor.seconds() + BODY_IDLES * idle_s
        super().allHeadersReceived()

    def allContentReceived(self):
        """The request is complete; the next one begins with the bounds in force then."""
        if not self.turned:
            self.reading = False
            super().allContentReceived()

    def lineLengthExceeded(self, line):
        """The head is too long."""
        self.turn_away(431)

    def _send100Continue(self):
        if not self.turned:
            super()._send100Continue()

    def _respondToBadRequestAndDisconnect(self):
        over = self._receivedHeaderSize > self.totalHeadersSize or self._receivedHeaderCount > self.maxHeaders
        self.turn_away(431 if over else 400)

    def turn_away(self, status):
        """Reject the request with a status and close the connection."""
        if self.turned:
            return
        self.turned, self.persistent = True, False
        self.transport.write(
            b"HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            % (status, RESPONSES.get(status, b"Unknown Status"))
        )
        self.lineReceived = self.rawDataReceived = lambda data: None
        self.setTimeout(LINGER_S)
        self.transport.loseWriteConnection()

    def timeoutConnection(self):
        """Reject a head or body that takes too long; an idle connection is closed."""
        if self.turned:
            self.transport.abortConnection()
        elif self.reading:
            self.turn_away(408)
        else:
            super().timeoutConnection()


class Server(HTTPFactory):
    """Listens with bounded channels; `handle` gets every complete request."""

    protocol, noisy = BoundedChannel, False

    def __init__(self, reactor, handle, bounds, most_channels=1000):
        super().__init__(timeout=None, reactor=reactor)
        self.handle, self.bounds, self.most_channels, self.channels = handle, bounds, most_channels, set()

    def startFactory(self):
        """Nothing to start."""

    def stopFactory(self):
        """Nothing to stop."""

    def log(self, request):
        """Requests aren't logged."""

    def close_idle(self):
        """Close the connections on which no request is under way."""
        for channel in list(self.channels):
            if not (channel.reading or channel._handlingRequest or channel.turned):
                channel.loseConnection()
