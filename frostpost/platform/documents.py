"""The parts of a configuration document that the product knows."""

from msgspec import Struct, field


class Share(Struct):
    """A share of a route's requests that goes to a service."""

    target: str
    share: float


class RouteItem(Struct, rename="kebab"):
    """A route as the document has it; times in milliseconds or seconds as their names say."""

    name: str
    host: str
    path_prefix: str
    guard_ms: float
    route_class: str = "unsafe"
    target: str | None = None
    distribution: list[Share] | None = None
    target_latency_ms: float | None = None
    precedence: int | None = None
    max_attempts: int | None = None
    retained: bool | None = None
    retention_s: float | None = None
    resumable: bool | None = None
    gap_target_ms: float | None = None


class Engine(Struct, rename="kebab"):
    """What runners of a service can do: requests at once, tokens of cache, tokens in an event."""

    capacity: int | None = None
    cache_tokens: int | None = None
    event_tokens: int | None = None


class ServiceItem(Struct, rename="kebab"):
    """A service as the document has it."""

    name: str
    max_connections: int = 64
    self_dedup: bool | None = None
    engine: Engine | None = None


class BoundItem(Struct, rename="kebab"):
    """Bounds on clients: bytes of head and body, milliseconds for the head and between requests."""

    max_header_bytes: int | None = None
    max_body_bytes: int | None = None
    header_guard_ms: float | None = None
    idle_ms: float | None = None


class Document(Struct, rename="kebab"):
    """A whole configuration document, or the part of one that a change brings."""

    issue: int
    route_table: list[RouteItem] = field(default_factory=list)
    service_table: list[ServiceItem] = field(default_factory=list)
    limits: BoundItem | None = None
