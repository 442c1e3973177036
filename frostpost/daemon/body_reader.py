"""Read a whole response body up to a bound."""

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss


class BodyTooLongError(Exception):
    """The body is longer than the bound."""


class BodyCutError(Exception):
    """The connection ended before the body did."""


class Gather(Protocol):
    """Collects a response's body; until_close: the end of the connection ends a body of unknown length."""

    def __init__(self, most, until_close=False):
        self.data, self.most, self.whole = bytearray(), most, Deferred()
        self.until_close = until_close

    def dataReceived(self, data):
        """Add a piece; fail once the body is over the bound."""
        self.data += data
        if len(self.data) > self.most and not self.whole.called:
            self.whole.errback(BodyTooLongError())
            self.transport.loseConnection()

    def connectionLost(self, reason):
        """Deliver the whole body, or BodyCutError."""
        if self.whole.called:
            return
        if reason.check(ResponseDone) or self.until_close and reason.check(PotentialDataLoss):
            self.whole.callback(bytes(self.data))
        else:
            self.whole.errback(BodyCutError())


def gather(response, most, until_close=False):
    """Return a Deferred of a response's whole body; fails with BodyTooLongError over `most` bytes, or BodyCutError."""
    reading = Gather(most, until_close)
    response.deliverBody(reading)
    return reading.whole
