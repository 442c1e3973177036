"""One connection to a runner: one exchange at a time, dropped at the first doubt."""

import socket

from twisted.internet.protocol import Protocol

from .parsing import ResponseParser, UnreadableError

USER_TIMEOUT_MS = 2000
DRAIN_S = 1.0


class Connection(Protocol):
    """A connection to one runner, in the pool that opened it."""

    def __init__(self, pool):
        """Belong to a pool; nothing is under way yet."""
        self.pool, self.parser, self.exchange, self.drainer = pool, None, None, None
        self.lost, self.dirty, self.close, self.exchanges = False, False, False, 0
        self.keep_ms, self.idle_until_ms = 0, 0

    def connectionMade(self):
        """Set short bounds on silence of the network."""
        try:
            self.transport.setTcpNoDelay(True)
            self.transport.setTcpKeepAlive(True)
            self.transport.getHandle().setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        except (AttributeError, OSError):
            pass

    def stale(self):
        """Closed, or bytes came that nobody asked for."""
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
        """Write a request and read its answer for the exchange."""
        self.exchange, self.exchanges = exchange, self.exchanges + 1
        self.parser = ResponseParser(bodyless, self._head, self._data, self._whole)
        self.parser.makeConnection(self.transport)
        self.transport.write(data)

    def dataReceived(self, data):
        """Read an answer; bytes that nobody asked for end the connection."""
        if self.parser is None:
            return self.drop()
        try:
            self.parser.read(data)
        except UnreadableError as error:
            self._broken(str(error))

    def connectionLost(self, reason):
        """Tell the exchange that it broke off, and the pool."""
        self.lost = True
        self._broken(reason.type.__name__)
        self.pool.closed(self)

    def drop(self):
        """Close at once and never use it again."""
        self.dirty, self.exchange, self.parser = True, None, None
        self._stop_draining()
        if not self.lost:
            self.transport.abortConnection()

    def detach(self):
        """The exchange is over; read its body to the end, for a moment, to keep the connection."""
        self.exchange = None
        if self.drainer is None and self.parser is not None:
            self.drainer = self.pool.agent.reactor.callLater(DRAIN_S, self.drop)

    def pause(self):
        """Read no more for now."""
        if not self.lost:
            self.transport.pauseProducing()

    def resume(self):
        """Read on."""
        if not self.lost and not self.dirty:
            self.transport.resumeProducing()

    def learn(self, head):
        """What an answer's head tells of the connection itself."""
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
