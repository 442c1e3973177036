"""What the way of a request works on; a front translates its own wire into these and back.

Times are milliseconds, header names and values are bytes, ids are text.
"""

from collections.abc import Callable

from msgspec import Struct, field


class Route(Struct, frozen=True):
    """kind: safe, unsafe, idempotent or streaming. weights: (service, weight) pairs."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: int
    aim_ms: int
    rank: int
    weights: tuple[tuple[str, int], ...]
    attempts: int = 1
    retained: bool = False
    keep_ms: int = 0
    resumable: bool = False
    gap_ms: int = 0


class Service(Struct, frozen=True):
    """A service and what its runners can take."""

    name: str
    max_connections: int
    dedupes: bool = False
    event_tokens: int = 0
    slots: int = 0
    cache_tokens: int = 0


class ClientBounds(Struct, frozen=True):
    """What a client may send and how long it may take."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_ms: int = 3000
    idle_ms: int = 15000


class Routing(Struct, frozen=True):
    """One version of the configuration, as requests are served by it."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    bounds: ClientBounds = ClientBounds()


class Runner(Struct, frozen=True):
    """One life of a runner, as the list of runners shows it."""

    id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    draining: bool = False


class Delays(Struct):
    """How long a request waited, in milliseconds, for what it lacked: a lease, a decision of the order, a slot."""

    lease_ms: int = 0
    order_ms: int = 0
    slot_ms: int = 0


class Call(Struct):
    """One try of a client. uri: path and query as sent; headers: those to pass on, in order; delays: so far."""

    attempt: str
    method: bytes
    uri: bytes
    host: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    started_ms: int
    deadline_ms: int
    key: str = ""
    program: str = ""
    line: str = ""
    budget: int = 0
    previous: str = ""
    prompt_tokens: int = 0
    most_tokens: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    program_left_ms: int = 0
    last_event: str = ""
    delays: Delays = field(default_factory=Delays)


class RunnerHead(Struct, frozen=True):
    """The head of a runner's answer. headers: those to pass back, in order. load: running, waiting, slots."""

    status: int
    headers: list[tuple[bytes, bytes]]
    attempt: str = ""
    not_run: bool = False
    sealed: bool = False
    instance: str = ""
    load: tuple[int, int, int] | None = None
    close: bool = False
    keep_ms: int = 0


class Wire(Struct, frozen=True):
    """How a front speaks to runners.

    request_headers(call, runner, left_ms) -> list of (name, value) pairs, without Host, lengths and connection
    headers; read_head(status, headers) -> RunnerHead, from a status and (name, value) pairs.
    """

    request_headers: Callable
    read_head: Callable


class Sink(Struct):
    """Where an answer goes: head(status, headers), data(bytes), end(), cut() (close without an end),
    failed(failure) (a whole answer made from a product's failure), gone() -> bool (the client has left),
    on_gone(callback), set once by whoever wants to know. Backpressure: on_pause(callback), on_resume(callback).
    """

    head: Callable
    data: Callable
    end: Callable
    cut: Callable
    failed: Callable
    gone: Callable
    on_gone: Callable
    on_pause: Callable
    on_resume: Callable
