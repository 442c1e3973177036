from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone


class BodyTooLongError(Exception):
    pass


class BodyCutError(Exception):
    pass


class Gather(Protocol):
    def __init__(self, most):
        self.data, self.most, self.whole = bytearray(), most, Deferred()

    def dataReceived(self, data):
        self.data += data
        if len(self.data) > self.most and not self.whole.called:
            self.whole.errback(BodyTooLongError())
            self.transport.loseConnection()

    def connectionLost(self, reason):
        if self.whole.called:
            return
        if reason.check(ResponseDone):
            self.whole.callback(bytes(self.data))
        else:
            self.whole.errback(BodyCutError())


def gather(response, most):
    reading = Gather(most)
    response.deliverBody(reading)
    return reading.whole
