"""Simulated runners with limited concurrency, a short queue and injectable faults."""

from collections import deque

from msgspec import Struct
from twisted.internet.protocol import Factory, Protocol

from .http import Reader
from .jobs import Job

EVENT_TOKENS = 20
CONNECTIONS = 40


class Runner(Struct):
    """Runner state; `odds` maps each fault to the share of requests that it affects."""

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


def start_runner(runner):
    runner.queue = deque()
    factory = Factory()
    factory.buildProtocol = lambda _: RunnerConnection(runner)
    runner.host.listenTCP(runner.port, factory)
    return runner


class RunnerConnection(Protocol):
    def __init__(self, runner):
        self.runner, self.reader, self.job, self.gone, self.late = (
            runner,
            Reader(self.request_received),
            None,
            False,
            b"",
        )

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

    def request_received(self, message):
        if self.job is not None:
            self.runner.notes.strays.append(("pipelined", self.runner.id))
        self.job = Job(self, message)
        self.job.arrive()
        self.surplus()

    def surplus(self):
        """Send bytes left over from an earlier request in place of this response."""
        if self.late and self.job is not None and self.job.run is not None:
            self.job.run.broke = True
            self.transport.write(self.late)
            self.late = b""
