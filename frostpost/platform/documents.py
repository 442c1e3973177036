"""The fields of a configuration document that this software interprets; others are preserved."""

from msgspec import UNSET, Struct, UnsetType, field


class TargetShare(Struct):
    """The share of a route's requests that is sent to one service."""

    target: str
    share: float


class RouteItem(Struct, rename="kebab"):
    """A route as written in the document. Times are in the unit that ends their name."""

    name: str
    host: str
    path_prefix: str
    guard_ms: float
    route_class: str = "unsafe"
    target: str | None = None
    distribution: list[TargetShare] | None = None
    target_latency_ms: float | None = None
    precedence: int | None = None
    max_attempts: int | None = None
    retained: bool | None = None
    retention_s: float | None = None
    resumable: bool | None = None
    gap_target_ms: float | None = None
    keyless: bool | None = None


class Engine(Struct, rename="kebab"):
    """Capacity of a service's runners: concurrent requests, cached tokens, tokens in one event."""

    capacity: int | None = None
    cache_tokens: int | None = None
    event_tokens: int | None = None


class Scaling(Struct, rename="kebab"):
    """How many runners of a service may be ordered in each of its zones, and how long a new one takes to serve."""

    min_count: int
    max_count: int
    boot_s: float = 0


class ServiceItem(Struct, rename="kebab"):
    """A service as written in the document."""

    name: str
    max_connections: int = 64
    self_dedup: bool | None = None
    engine: Engine | None = None
    scaling: Scaling | None = None


class SubscriberItem(Struct, rename="kebab"):
    """A tenant as written in the document; its list of credentials may be empty."""

    name: str
    credentials: list[str]
    precedence: int | None = None


class Subscribers(Struct):
    """The tenants of a document alone."""

    subscribers: list[SubscriberItem] | None | UnsetType = UNSET


class BoundsItem(Struct, rename="kebab"):
    """Bounds on client requests: bytes of header and body, milliseconds for the header and for idle connections."""

    max_header_bytes: int | None = None
    max_body_bytes: int | None = None
    header_guard_ms: float | None = None
    idle_ms: float | None = None


class Document(Struct, rename="kebab"):
    """A configuration document."""

    issue: int
    route_table: list[RouteItem] = field(default_factory=list)
    service_table: list[ServiceItem] = field(default_factory=list)
    limits: BoundsItem | None = None
    subscribers: list[SubscriberItem] | None | UnsetType = UNSET
