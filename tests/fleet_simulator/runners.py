"""Runners: they work on some requests at once, queue a few, and fail in the ways of real ones."""

from collections import deque

from msgspec import Struct
from twisted.internet.protocol import Factory, Protocol

from .http import Reader
from .jobs import Job

EVENT_TOKENS = 20
CONNECTIONS = 40


class Runner(Struct):
    """odds: share of requests on which each trouble falls."""

    id: str
    service: str
    host: object
    port: int
    zone: str
    slots: int
    streams: bool
    notes: object
    random: object
    odds: dict[str, float] = {}
    working: list = []
    queue: deque = None
    lines: set = set()
    draining: bool = False
    pace_ms: float = 20.0
    serial: int = 0
    tells_load: bool = True


def raise_runner(runner):
    runner.queue = deque()
    factory = Factory()
    factory.buildProtocol = lambda _: Line(runner)
    runner.host.listenTCP(runner.port, factory)
    return runner


class Line(Protocol):
    def __init__(self, runner):
        self.runner, self.reader, self.job, self.gone, self.late = runner, Reader(self.asked), None, False, b""

    def connectionMade(self):
        self.runner.lines.add(self)
        if len(self.runner.lines) > CONNECTIONS:
            self.transport.abortConnection()

    def dataReceived(self, data):
        self.reader.feed(data)

    def connectionLost(self, reason):
        self.gone = True
        self.runner.lines.discard(self)
        if self.job is not None:
            self.job.dropped()

    def asked(self, message):
        if self.job is not None:
            self.runner.notes.strays.append(("pipelined", self.runner.id))
        self.job = Job(self, message)
        self.job.arrive()
        self.surplus()

    def surplus(self):
        """Bytes that belong to an earlier request come in the place of this one's answer."""
        if self.late and self.job is not None and self.job.run is not None:
            self.job.run.broke = True
            self.transport.write(self.late)
            self.late = b""
