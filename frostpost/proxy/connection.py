"""An HTTP/1.1 connection to a runner: one exchange at a time, aborted on any protocol violation."""

import socket

from twisted.internet.protocol import Protocol

from .response_parser import ResponseParser, UnreadableError

USER_TIMEOUT_MS = 2000
DRAIN_S = 1.0


class Connection(Protocol):
    """A pooled connection to one runner."""

    def __init__(self, pool):
        self.pool, self.parser, self.exchange, self.drainer = pool, None, None, None
        self.lost, self.dirty, self.close, self.exchanges = False, False, False, 0
        self.keep_ms, self.idle_until_ms = 0, 0

    def connectionMade(self):
        """Enable TCP_NODELAY, keep-alive and TCP_USER_TIMEOUT, so that a dead peer is detected soon."""
        try:
            self.transport.setTcpNoDelay(True)
            self.transport.setTcpKeepAlive(True)
            self.transport.getHandle().setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        except (AttributeError, OSError):
            pass

    def stale(self):
        """Return whether the connection is closed or has unsolicited bytes to read."""
        if self.lost or self.dirty or self.close:
            return True
        try:
            self.transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except (AttributeError, TypeError):
            return False
        except OSError:
            return True
        return True

    def start(self, exchange, data, bodyless):
        """Write a request and pass its response to the exchange."""
        self.exchange, self.exchanges = exchange, self.exchanges + 1
        self.parser = ResponseParser(bodyless, self._head, self._data, self._whole)
        self.parser.makeConnection(self.transport)
        self.transport.write(data)

    def dataReceived(self, data):
        """Parse response bytes; abort the connection if no request is outstanding or the bytes are malformed."""
        if self.parser is None:
            return self.drop()
        try:
            self.parser.read(data)
        except UnreadableError as error:
            self._broken(str(error))

    def connectionLost(self, reason):
        """Fail the current exchange and remove the connection from the pool."""
        self.lost = True
        self._broken(reason.type.__name__)
        self.pool.closed(self)

    def drop(self):
        """Abort the connection and mark it unusable."""
        self.dirty, self.exchange, self.parser = True, None, None
        self._stop_draining()
        if not self.lost:
            self.transport.abortConnection()

    def detach(self):
        """Detach the exchange and drain its response for up to DRAIN_S, so that the connection can be reused."""
        self.exchange = None
        if self.drainer is None and self.parser is not None:
            self.drainer = self.pool.agent.reactor.callLater(DRAIN_S, self.drop)

    def pause(self):
        """Stop reading from the transport."""
        if not self.lost:
            self.transport.pauseProducing()

    def resume(self):
        """Resume reading from the transport."""
        if not self.lost and not self.dirty:
            self.transport.resumeProducing()

    def learn(self, head):
        """Record the `Connection` and `Keep-Alive` settings of a response head."""
        self.close = self.close or head.close
        if head.keep_ms > 0:
            self.keep_ms = head.keep_ms

    def _head(self, status, fields):
        if self.exchange is not None:
            self.exchange.heard_head(status, fields)

    def _data(self, data):
        if self.exchange is not None:
            self.exchange.heard_data(data)

    def _whole(self, rest):
        if self.dirty:
            return
        exchange, self.exchange, self.parser = self.exchange, None, None
        self._stop_draining()
        if rest or self.close or self.lost:
            self.dirty = True
            self.transport.loseConnection()
        else:
            self.pool.freed(self)
        if exchange is not None:
            exchange.heard_whole()

    def _broken(self, why):
        exchange, self.exchange = self.exchange, None
        self.drop()
        if exchange is not None:
            exchange.heard_broken(why)

    def _stop_draining(self):
        drainer, self.drainer = self.drainer, None
        if drainer is not None and drainer.active():
            drainer.cancel()
