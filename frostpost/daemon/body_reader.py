"""Reads the body of an HTTP response into memory, up to a maximum size."""

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss


class BodyTooLongError(Exception):
    """The body exceeds the maximum size."""


class BodyTruncatedError(Exception):
    """The connection closed before the end of the body."""


class BodyCollector(Protocol):
    """Collects the body of a response.

    With `until_close`, the end of the connection completes a body of unknown length.
    """

    def __init__(self, max_bytes, until_close=False):
        self.data, self.max_bytes, self.body = bytearray(), max_bytes, Deferred()
        self.until_close = until_close

    def dataReceived(self, data):
        """Append received bytes; fail and close the connection once the body exceeds the maximum size."""
        self.data += data
        if len(self.data) > self.max_bytes and not self.body.called:
            self.body.errback(BodyTooLongError())
            self.transport.loseConnection()

    def connectionLost(self, reason):
        """Fire with the complete body, or fail with BodyTruncatedError."""
        if self.body.called:
            return
        if reason.check(ResponseDone) or self.until_close and reason.check(PotentialDataLoss):
            self.body.callback(bytes(self.data))
        else:
            self.body.errback(BodyTruncatedError())


def read_body(response, max_bytes, until_close=False):
    """Return a Deferred that fires with the body of a response.

    It fails with BodyTooLongError if the body exceeds `max_bytes`, or with BodyTruncatedError.
    """
    collector = BodyCollector(max_bytes, until_close)
    response.deliverBody(collector)
    return collector.body
