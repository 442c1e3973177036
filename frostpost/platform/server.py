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
        pass

    def gotLength(self, length):
        self.chunks, self.started_s = [], self.channel.factory.reactor.seconds()
        if length is not None and length > self.channel.bounds.body_bytes:
            self.channel.turn_away(413)

    def handleContentChunk(self, data):
        self.size += len(data)
        if self.size <= self.channel.bounds.body_bytes:
            self.chunks.append(data)
        else:
            self.chunks.clear()
            self.channel.turn_away(413)

    def requestReceived(self, command, path, version):
        self.method, self.uri, self.clientproto = command, path, version
        self.path = path.partition(b"?")[0]
        self.body, self.chunks = b"".join(self.chunks), []
        self.channel.factory.handle(self)

    def finish(self):
        self.over(False)
        super().finish()

    def connectionLost(self, reason):
        self.lost = True
        super().connectionLost(reason)
        self.over(True)

    def over(self, lost):
        on_over, self.on_over = self.on_over, None
        if on_over is not None:
            on_over(lost)


class BoundedChannel(HTTPChannel):
    requestFactory = Exchange
    turned = reading = in_head = False
    bounds, read_by_s = None, 0.0

    def connectionMade(self):
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
        self.factory.channels.discard(self)
        super().connectionLost(reason)

    def take_bounds(self):
        self.bounds = self.factory.bounds()
        self.totalHeadersSize = self.MAX_LENGTH = self.bounds.header_bytes

    def begin_reading(self):
        self.reading = self.in_head = True
        self.take_bounds()
        self.setTimeout(self.bounds.header_ms / 1000)

    def dataReceived(self, data):
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
        if not self.reading:
            self.begin_reading()
        return super().lineReceived(line)

    def headerReceived(self, line):
        """Refuse framing that another reader could take otherwise; the library reads the rest."""
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
        self.in_head, idle_s = False, self.bounds.idle_ms / 1000
        if self.length == 0:
            self.timeOut = idle_s
        else:
            self.setTimeout(idle_s)
            self.read_by_s = self.factory.reactor.seconds() + BODY_IDLES * idle_s
        super().allHeadersReceived()

    def allContentReceived(self):
        if not self.turned:
            self.reading = False
            super().allContentReceived()

    def lineLengthExceeded(self, line):
        self.turn_away(431)

    def _send100Continue(self):
        if not self.turned:
            super()._send100Continue()

    def _respondToBadRequestAndDisconnect(self):
        over = self._receivedHeaderSize > self.totalHeadersSize or self._receivedHeaderCount > self.maxHeaders
        self.turn_away(431 if over else 400)

    def turn_away(self, status):
        """Answer a request that isn't read whole, then read on for a moment, so that the answer isn't reset."""
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
        if self.turned:
            self.transport.abortConnection()
        elif self.reading:
            self.turn_away(408)
        else:
            super().timeoutConnection()


class Server(HTTPFactory):
    """bounds() -> ClientBounds; handle(request) answers one `Exchange`."""

    protocol, noisy = BoundedChannel, False

    def __init__(self, reactor, handle, bounds, most_channels=1000):
        super().__init__(timeout=None, reactor=reactor)
        self.handle, self.bounds, self.most_channels, self.channels = handle, bounds, most_channels, set()

    def startFactory(self):
        pass

    def stopFactory(self):
        pass

    def log(self, request):
        pass

    def close_idle(self):
        """End the connections on which nothing is under way."""
        for channel in list(self.channels):
            if not (channel.reading or channel._handlingRequest or channel.turned):
                channel.loseConnection()
