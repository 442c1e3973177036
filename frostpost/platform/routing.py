"""Validates and changes the platform's configuration document, and converts it into `Routing`."""

import json
from hashlib import sha256

import msgspec
from cerberus import Validator
from expression import Error, Ok
from msgspec import Raw, Struct

from frostpost.proxy.models import ClientBounds, Route, Routing, Service

from .documents import BoundsItem, Document, Engine
from .strict_json import RoutingInvalid, parse_json

ROUTE_CLASSES = ("safe", "unsafe", "idempotent", "streaming")
MAX_ISSUE = (1 << 63) - 1
DIGEST_BYTES = 16
EMPTY_DOCUMENT = b'{"issue":0,"route-table":[],"service-table":[]}'


class StoredDocument(Struct):
    """The body that is stored for one version."""

    document: Raw


DOCUMENT_VALIDATOR = Validator(
    {
        "issue": {"type": "integer", "required": True, "min": 1, "max": MAX_ISSUE},
        "route-table": {"type": "list", "required": True},
        "service-table": {"type": "list", "required": True},
        "limits": {"type": "dict", "nullable": True},
    },
    allow_unknown=True,
)
CHANGE_VALIDATOR = Validator(
    {
        "issue": {"type": "integer", "required": True, "min": 1, "max": MAX_ISSUE},
        "upsert": {"type": "dict", "nullable": True, "valuesrules": {"type": ["list", "dict"]}},
        "remove": {"type": "dict", "nullable": True, "valuesrules": {"type": "list", "schema": {"type": "string"}}},
        "limits": {"type": "dict", "nullable": True},
    },
    allow_unknown=True,
)


def validate_schema(validator, document):
    """Validate a decoded document against a schema. Returns Result[document, RoutingInvalid]."""
    if validator.validate(document, normalize=False):
        return Ok(document)
    name, messages = next(iter(validator.errors.items()))
    return Error(RoutingInvalid(str(name), str(messages[0])[:200]))


def route_weights(item):
    """Return the (service, weight) pairs of a route; weights are integers."""
    if item.distribution is None:
        return () if item.target is None else ((item.target, 1),)
    scale = 1 if all(share.share == int(share.share) for share in item.distribution) else 1000
    return tuple((share.target, round(share.share * scale)) for share in item.distribution)


def first_duplicate(values):
    """Return the first value that is repeated, or None."""
    seen = set()
    return next((value for value in values if value in seen or seen.add(value)), None)


def document_errors(document):
    """Yield the semantic errors of a document that matches the schema."""
    routes, services = document.route_table, document.service_table
    service_names = {service.name for service in services}
    for name, values in (
        ("route-table", [route_item.name for route_item in routes]),
        ("service-table", [service_item.name for service_item in services]),
    ):
        if first_duplicate(values) is not None:
            yield RoutingInvalid(name, "two items have the same name")
    if first_duplicate((route.host.lower(), route.path_prefix) for route in routes) is not None:
        yield RoutingInvalid("route-table", "two routes have the same host and prefix")
    for route in routes:
        weights = route_weights(route)
        if not route.guard_ms > 0:
            yield RoutingInvalid(route.name, "guard-ms must be above 0")
        if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
            yield RoutingInvalid(route.name, "path-prefix must begin and end with a slash")
        if any(weight < 0 for _, weight in weights) or not sum(weight for _, weight in weights):
            yield RoutingInvalid(route.name, "the weights add up to nothing")
        if any(service not in service_names for service, _ in weights):
            yield RoutingInvalid(route.name, "names an unknown service")


def to_milliseconds(value, default=0):
    """Round a time to integer milliseconds, at least 1 if it is positive; None gives the default."""
    return default if value is None else max(1, round(value)) if value > 0 else 0


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
        rank=item.precedence or 0,
        weights=route_weights(item),
        attempts=max(1, item.max_attempts or 1),
        retained=bool(item.retained),
        retention_ms=to_milliseconds((item.retention_s or 0) * 1000),
        resumable=bool(item.resumable),
        max_event_gap_ms=to_milliseconds(item.gap_target_ms),
    )


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
    )


def build_bounds(item):
    """Convert the document's bounds on clients into ClientBounds."""
    item, default = item or BoundsItem(), ClientBounds()
    return ClientBounds(
        header_bytes=item.max_header_bytes or default.header_bytes,
        body_bytes=item.max_body_bytes or default.body_bytes,
        header_ms=to_milliseconds(item.header_guard_ms) or default.header_ms,
        idle_ms=to_milliseconds(item.idle_ms) or default.idle_ms,
    )


def build_routing(document):
    """Convert a valid document into Routing."""
    return Routing(
        version=document.issue,
        routes=tuple(map(build_route, document.route_table)),
        services={item.name: build_service(item) for item in document.service_table},
        bounds=build_bounds(document.limits),
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


def parse_change(body):
    """Parse and validate a change. Returns Result[change, RoutingInvalid]."""
    return parse_json(body).bind(lambda change: validate_schema(CHANGE_VALIDATOR, change)).bind(check_item_names)


def check_item_names(change):
    """Check that all items of a change have distinct names. Returns Result[change, RoutingInvalid]."""
    for table, items in (change.get("upsert") or {}).items():
        if isinstance(items, dict):
            continue
        if not all(isinstance(item_name(item), str) for item in items):
            return Error(RoutingInvalid(f"upsert.{table}", "an item has no name"))
        if first_duplicate(map(item_name, items)) is not None:
            return Error(RoutingInvalid(f"upsert.{table}", "two items have the same name"))
    return Ok(change)


def item_name(item):
    """Return the name of a route or service of a decoded document, or None."""
    return item.get("name") if isinstance(item, dict) else None


def table_items(document, table):
    """Return the items of a table of a decoded document; empty if the table is missing or not a list."""
    items = document.get(table)
    return items if isinstance(items, list) else []


def apply_change(document, change):
    """Return the document with items removed by name, then replaced in place or appended.

    Names to remove that are not in the document are ignored.
    """
    merged = {**document, "issue": change["issue"]}
    if change.get("limits") is not None:
        merged["limits"] = change["limits"]
    for table, removed_names in (change.get("remove") or {}).items():
        if table in merged and removed_names:
            removed_names = set(removed_names)
            merged[table] = [item for item in table_items(merged, table) if item_name(item) not in removed_names]
    for table, items in (change.get("upsert") or {}).items():
        if isinstance(items, dict):
            merged[table] = items
            continue
        replacements = {item["name"]: item for item in items}
        updated = [replacements.pop(item_name(item), item) for item in table_items(merged, table)]
        merged[table] = updated + list(replacements.values())
    return merged


def request_digest(kind, document):
    """Return a digest that is equal for requests with equal content."""
    return sha256(f"{kind} {json.dumps(document, sort_keys=True)}".encode()).digest()[:DIGEST_BYTES]


def encode_body(document):
    """Encode a document into the bytes that are stored and distributed to all daemons."""
    text = json.dumps(document, separators=(",", ":"), allow_nan=False).encode()
    return msgspec.json.encode(StoredDocument(Raw(text)))


def document_from_body(body):
    """Return the document's bytes from a stored body; an empty body is the empty configuration."""
    return bytes(msgspec.json.decode(body, type=StoredDocument).document) if body else EMPTY_DOCUMENT


def routing_from_body(body):
    """Decode a stored body into Routing."""
    return build_routing(msgspec.json.decode(document_from_body(body), type=Document))
