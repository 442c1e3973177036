"""Data types of the proxy. A front end translates its protocol to and from these types.

Times are in milliseconds, header names and values are bytes, ids are strings.
"""

from collections.abc import Callable

from msgspec import Struct, field

from frostpost.program_ledger.ids import credential_id, hosted_key, scoped_id


class Route(Struct, frozen=True):
    """A route. kind: safe, unsafe, idempotent or streaming. weights: (service, weight) pairs. rank: 0 first.

    is_keyless: whether requests need no credential.
    """

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: int
    target_latency_ms: int
    rank: int
    weights: tuple[tuple[str, int], ...]
    attempts: int = 1
    retained: bool = False
    retention_ms: int = 0
    resumable: bool = False
    max_event_gap_ms: int = 0
    is_keyless: bool = False


class ScalingBounds(Struct, frozen=True):
    """How many runners a service may have in each of its zones; a runner that is ordered serves after boot_ms."""

    min_count: int
    max_count: int
    boot_ms: int


class Service(Struct, frozen=True):
    """A service and the capacity of its runners; `scaling` is None if their number is not ordered."""

    name: str
    max_connections: int
    dedupes: bool = False
    event_tokens: int = 0
    slots: int = 0
    cache_tokens: int = 0
    scaling: ScalingBounds | None = None


class Tenant(Struct, frozen=True):
    """A tenant. rank: 0 first, compared before the rank of the route."""

    name: str
    rank: int = 0


class ClientBounds(Struct, frozen=True):
    """Size and time limits for client requests."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_ms: int = 3000
    idle_ms: int = 15000


class Routing(Struct, frozen=True):
    """One version of the routing configuration.

    tenants: by digest of their credentials; None if requests need no credential. former_tenants: names of the tenants
    that earlier versions knew by a credential which this one doesn't know, by its digest.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    bounds: ClientBounds = ClientBounds()
    tenants: dict[str, Tenant] | None = None
    former_tenants: dict[str, str] = {}


class Runner(Struct, frozen=True):
    """An instance of a runner as listed by the platform."""

    id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    draining: bool = False


class Delays(Struct):
    """Time that a request has spent waiting for a lease, a ledger decision and a runner slot."""

    lease_ms: int = 0
    order_ms: int = 0
    slot_ms: int = 0


class Call(Struct):
    """A client request. uri: path and query as received. headers: those to forward, in order.

    budget: the program's token budget; program_remaining_ms: the time to its deadline; each None if there is none.
    credential: digest of the client's credential, empty if there is none. tenant: name of the tenant that holds it, and
    id_scope: the tenant whose ids the request uses, both set on admission.
    """

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
    session_id: str = ""
    budget: int | None = None
    previous_turn: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prompt_parts: tuple[tuple[str, int], ...] = ()
    program_remaining_ms: int | None = None
    last_event_id: str = ""
    credential: str = ""
    tenant: str = ""
    id_scope: str = ""
    delays: Delays = field(default_factory=Delays)

    @property
    def ledger_credential(self):
        """What identifies the credential in the ledger, which needs it only while the ids name no tenant."""
        return "" if self.id_scope else credential_id(self.credential)

    @property
    def ledger_attempt(self):
        """The attempt id by which the ledger and the turn store know this request."""
        return scoped_id(self.id_scope, self.attempt)

    @property
    def ledger_program(self):
        """The program id by which the ledger keeps this request's budget."""
        return scoped_id(self.id_scope, self.program or self.attempt)

    @property
    def ledger_previous_turn(self):
        """The ledger's id of the turn that this request follows, empty if there is none."""
        return scoped_id(self.id_scope, self.previous_turn) if self.previous_turn else ""

    @property
    def ledger_key(self):
        """The operation key by which the ledger records this request's answer; it disregards the host in it."""
        return scoped_id(self.id_scope, hosted_key(self.host, self.key))


class RunnerHead(Struct, frozen=True):
    """A response head. headers: those to forward, in order. load: running and waiting requests, and slots."""

    status: int
    headers: list[tuple[bytes, bytes]]
    attempt: str = ""
    not_executed: bool = False
    sealed: bool = False
    instance: str = ""
    load: tuple[int, int, int] | None = None
    close: bool = False
    keep_alive_ms: int = 0


class Wire(Struct, frozen=True):
    """A front end's protocol for requests to runners.

    request_headers(call, runner, remaining_ms) returns (name, value) pairs without Host, length and connection headers.
    read_head(status, headers) returns a RunnerHead.
    """

    request_headers: Callable
    read_head: Callable


class Sink(Struct):
    """The client's side of a request.

    head(status, headers), data(bytes) and end() write a response; abort() closes it incomplete. fail(failure)
    responds with a failure. is_disconnected() returns whether the client has disconnected; on_disconnect(callback)
    registers the one callback for that. on_pause(callback) and on_resume(callback) register for backpressure.
    """

    head: Callable
    data: Callable
    end: Callable
    abort: Callable
    fail: Callable
    is_disconnected: Callable
    on_disconnect: Callable
    on_pause: Callable
    on_resume: Callable
