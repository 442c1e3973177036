"""Read a whole response body up to a bound."""

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone


class BodyTooLongError(Exception):
    """The body is longer than the bound."""


class BodyCutError(Exception):
    """The connection ended before the body did."""


class Gather(Protocol):
    """Return a Deferred of a response's whole body, of at most `most` bytes."""

    def __init__(self, most):
        self.data, self.most, self.whole = bytearray(), most, Deferred()

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
        if reason.check(ResponseDone):
            self.whole.callback(bytes(self.data))
        else:
            self.whole.errback(BodyCutError())


def gather(response, most):
    """Return a Deferred of a response's whole body, of at most `most` bytes."""
    reading = Gather(most)
    response.deliverBody(reading)
    return reading.whole
