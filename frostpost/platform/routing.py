"""Converts the platform's configuration document into `Routing` and into the body that is stored."""

import json
from collections import Counter, defaultdict
from hashlib import sha256

import msgspec
from expression import Error, Ok
from msgspec import UNSET, Raw, Struct

from frostpost.program_ledger.ids import credential_id
from frostpost.program_ledger.messages import AdoptedCredentials
from frostpost.proxy.credentials import credential_digest
from frostpost.proxy.models import ClientBounds, Route, Routing, ScalingBounds, Service, Tenant

from .document_validation import DOCUMENT_VALIDATOR, document_errors, route_weights, validate_schema
from .documents import BoundsItem, Document, Engine, Subscribers
from .former_credentials import former_holders
from .strict_json import RoutingInvalid, parse_json

ROUTE_CLASSES = ("safe", "unsafe", "idempotent", "streaming")
MAX_RANK = (1 << 16) - 1
DIGEST_BYTES = 16
EMPTY_DOCUMENT = b'{"issue":0,"route-table":[],"service-table":[]}'


class StoredDocument(Struct, omit_defaults=True):
    """The body that is stored for one version.

    former_holders: tenants of credentials that earlier versions held, by the digest of the credential.
    """

    document: Raw
    former_holders: dict[str, str] = {}


def to_milliseconds(value, default=0):
    """Round a time to integer milliseconds, at least 1 if it is positive; None gives the default."""
    return default if value is None else max(1, round(value)) if value > 0 else 0


def build_rank(precedence):
    """Convert a precedence into a rank from 0, the highest, to MAX_RANK."""
    return min(max(precedence or 0, 0), MAX_RANK)


def build_route(item):
    """Convert a route of the document into a Route."""
    timeout_ms = to_milliseconds(item.guard_ms)
    return Route(
        name=item.name,
        host=item.host.lower(),
        prefix=item.path_prefix,
        kind=item.route_class if item.route_class in ROUTE_CLASSES else "unsafe",
        timeout_ms=timeout_ms,
        target_latency_ms=to_milliseconds(item.target_latency_ms, timeout_ms),
        rank=build_rank(item.precedence),
        weights=route_weights(item),
        attempts=max(1, item.max_attempts or 1),
        retained=bool(item.retained),
        retention_ms=to_milliseconds((item.retention_s or 0) * 1000),
        resumable=bool(item.resumable),
        max_event_gap_ms=to_milliseconds(item.gap_target_ms),
        is_keyless=bool(item.keyless),
    )


def build_scaling(item):
    """Convert a service's bounds on its number of runners into ScalingBounds, or None if it is not scaled."""
    if item is None:
        return None
    return ScalingBounds(item.min_count, item.max_count, to_milliseconds(item.boot_s * 1000))


def build_service(item):
    """Convert a service of the document into a Service."""
    engine = item.engine or Engine()
    return Service(
        name=item.name,
        max_connections=item.max_connections,
        dedupes=bool(item.self_dedup),
        event_tokens=engine.event_tokens or 0,
        slots=engine.capacity or 0,
        cache_tokens=engine.cache_tokens or 0,
        scaling=build_scaling(item.scaling),
    )


def build_tenants(subscribers):
    """Return the tenants by digest of their credentials, or None if the document has no subscribers.

    A document that an earlier build has stored unread may give one credential to two tenants; it admits neither.
    """
    if subscribers is UNSET:
        return None
    holders = Counter(credential for item in subscribers or () for credential in set(item.credentials))
    return {
        credential_digest(credential.encode()): Tenant(item.name, build_rank(item.precedence))
        for item in subscribers or ()
        for credential in item.credentials
        if holders[credential] == 1
    }


def holders_of(document):
    """Return the names of a document's tenants by the digests of their credentials."""
    return {digest: tenant.name for digest, tenant in (build_tenants(document.subscribers) or {}).items()}


def build_bounds(item):
    """Convert the document's bounds on clients into ClientBounds."""
    item, default = item or BoundsItem(), ClientBounds()
    return ClientBounds(
        header_bytes=item.max_header_bytes or default.header_bytes,
        body_bytes=item.max_body_bytes or default.body_bytes,
        header_ms=to_milliseconds(item.header_guard_ms) or default.header_ms,
        idle_ms=to_milliseconds(item.idle_ms) or default.idle_ms,
    )


def build_routing(document, former_tenants=None):
    """Convert a valid document into Routing. former_tenants: names of tenants by digest of a former credential."""
    return Routing(
        version=document.issue,
        routes=tuple(map(build_route, document.route_table)),
        services={item.name: build_service(item) for item in document.service_table},
        bounds=build_bounds(document.limits),
        tenants=build_tenants(document.subscribers),
        former_tenants=former_tenants or {},
    )


def validate(document):
    """Validate a decoded document. Returns Result[(document, Routing), RoutingInvalid]."""
    checked = validate_schema(DOCUMENT_VALIDATOR, document)
    if checked.is_error():
        return checked
    try:
        parsed = msgspec.convert(document, Document)
    except msgspec.ValidationError as error:
        text, _, path = str(error).partition(" - at ")
        return Error(RoutingInvalid(path.strip("`"), text))
    error = next(document_errors(parsed), None)
    return Error(error) if error else Ok((document, build_routing(parsed)))


def parse_document(body):
    """Parse and validate a document. Returns Result[(document, Routing), RoutingInvalid]."""
    return parse_json(body).bind(validate)


def request_digest(kind, document):
    """Return a digest that is equal for requests with equal content."""
    return sha256(f"{kind} {json.dumps(document, sort_keys=True)}".encode()).digest()[:DIGEST_BYTES]


def encode_body(document, replaced_body=b""):
    """Encode a document into the bytes that are stored and distributed to all daemons.

    replaced_body: the stored body of the version that the document replaces, empty if there is none.
    """
    text = json.dumps(document, separators=(",", ":"), allow_nan=False).encode()
    former = {}
    if replaced_body:
        stored_former, replaced = stored_holders(replaced_body)
        former = former_holders(stored_former, replaced, holders_of(msgspec.convert(document, Subscribers)))
    return msgspec.json.encode(StoredDocument(Raw(text), former))


def stored_holders(body):
    """Return the former and the current tenants of a stored body, by the digests of their credentials."""
    stored = msgspec.json.decode(body, type=StoredDocument)
    return stored.former_holders, holders_of(msgspec.json.decode(stored.document, type=Subscribers))


def adopted_credentials(document, replaced_body):
    """Return the AdoptedCredentials of a document: those that no earlier version knew.

    replaced_body: the stored body of the version that the document replaces; without one nothing was served before.
    """
    if not replaced_body:
        return ()
    stored_former, replaced = stored_holders(replaced_body)
    adopted = defaultdict(list)
    for digest, name in holders_of(msgspec.convert(document, Subscribers)).items():
        if digest not in stored_former and digest not in replaced:
            adopted[name].append(credential_id(digest))
    return tuple(AdoptedCredentials(name, tuple(credentials)) for name, credentials in adopted.items())


def document_from_body(body):
    """Return the document's bytes from a stored body; an empty body is the empty configuration."""
    return bytes(msgspec.json.decode(body, type=StoredDocument).document) if body else EMPTY_DOCUMENT


def routing_from_body(body):
    """Decode a stored body into Routing."""
    if not body:
        return build_routing(msgspec.json.decode(EMPTY_DOCUMENT, type=Document))
    stored = msgspec.json.decode(body, type=StoredDocument)
    return build_routing(msgspec.json.decode(stored.document, type=Document), stored.former_holders)
