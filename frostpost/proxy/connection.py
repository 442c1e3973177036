"""An HTTP/1.1 connection to a runner: one exchange at a time, aborted on any protocol violation."""

import socket

from twisted.internet.protocol import Protocol

from .response_parser import InvalidResponseError, ResponseParser

USER_TIMEOUT_MS = 2000
DRAIN_S = 1.0


class Connection(Protocol):
    """A pooled connection to one runner."""

    def __init__(self, pool):
        self.pool, self.parser, self.exchange, self.drain_timer = pool, None, None, None
        self.lost, self.unusable, self.close_after_response, self.exchange_count = False, False, False, 0
        self.keep_alive_ms, self.idle_until_ms = 0, 0

    def connectionMade(self):
        """Enable TCP_NODELAY, keep-alive and TCP_USER_TIMEOUT, so that a dead peer is detected soon."""
        try:
            self.transport.setTcpNoDelay(True)
            self.transport.setTcpKeepAlive(True)
            self.transport.getHandle().setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        except (AttributeError, OSError):
            pass

    def is_stale(self):
        """Return whether the connection is closed or has unsolicited bytes to read."""
        if self.lost or self.unusable or self.close_after_response:
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
        self.exchange, self.exchange_count = exchange, self.exchange_count + 1
        self.parser = ResponseParser(bodyless, self._on_head, self._on_data, self._on_complete)
        self.parser.makeConnection(self.transport)
        self.transport.write(data)

    def dataReceived(self, data):
        """Parse response bytes; abort the connection if no request is outstanding or the bytes are malformed."""
        if self.parser is None:
            return self.abort()
        try:
            self.parser.read(data)
        except InvalidResponseError as error:
            self._fail(str(error))

    def connectionLost(self, reason):
        """Fail the current exchange and remove the connection from the pool."""
        self.lost = True
        self._fail(reason.type.__name__)
        self.pool.remove(self)

    def abort(self):
        """Abort the connection and mark it unusable."""
        self.unusable, self.exchange, self.parser = True, None, None
        self._stop_draining()
        if not self.lost:
            self.transport.abortConnection()

    def drain(self):
        """Detach the exchange and drain its response for up to DRAIN_S, so that the connection can be reused."""
        self.exchange = None
        if self.drain_timer is None and self.parser is not None:
            self.drain_timer = self.pool.agent.reactor.callLater(DRAIN_S, self.abort)

    def pause(self):
        """Stop reading from the transport."""
        if not self.lost:
            self.transport.pauseProducing()

    def resume(self):
        """Resume reading from the transport."""
        if not self.lost and not self.unusable:
            self.transport.resumeProducing()

    def apply_head(self, head):
        """Record the `Connection` and `Keep-Alive` settings of a response head."""
        self.close_after_response = self.close_after_response or head.close
        if head.keep_alive_ms > 0:
            self.keep_alive_ms = head.keep_alive_ms

    def _on_head(self, status, fields):
        if self.exchange is not None:
            self.exchange.on_head(status, fields)

    def _on_data(self, data):
        if self.exchange is not None:
            self.exchange.on_data(data)

    def _on_complete(self, surplus):
        if self.unusable:
            return
        exchange, self.exchange, self.parser = self.exchange, None, None
        self._stop_draining()
        if surplus or self.close_after_response or self.lost:
            self.unusable = True
            self.transport.loseConnection()
        else:
            self.pool.release(self)
        if exchange is not None:
            exchange.on_body_end()

    def _fail(self, reason):
        exchange, self.exchange = self.exchange, None
        self.abort()
        if exchange is not None:
            exchange.on_failure(reason)

    def _stop_draining(self):
        timer, self.drain_timer = self.drain_timer, None
        if timer is not None and timer.active():
            timer.cancel()
