"""The platform's configuration document, checked, changed and translated into `Routing`."""

import json
from hashlib import sha256

import msgspec
from cerberus import Validator
from expression import Error, Ok
from msgspec import Raw, Struct

from frostpost.proxy.models import ClientBounds, Route, Routing, Service

from .documents import BoundItem, Document, Engine
from .strict_json import RoutingInvalid, read_json

KINDS = ("safe", "unsafe", "idempotent", "streaming")
MOST_ISSUE = (1 << 63) - 1
DIGEST_BYTES = 16
EMPTY = b'{"issue":0,"route-table":[],"service-table":[]}'


class Stored(Struct):
    """What is kept under one version."""

    document: Raw


WHOLE = Validator(
    {
        "issue": {"type": "integer", "required": True, "min": 1, "max": MOST_ISSUE},
        "route-table": {"type": "list", "required": True},
        "service-table": {"type": "list", "required": True},
        "limits": {"type": "dict", "nullable": True},
    },
    allow_unknown=True,
)
CHANGE = Validator(
    {
        "issue": {"type": "integer", "required": True, "min": 1, "max": MOST_ISSUE},
        "upsert": {"type": "dict", "nullable": True, "valuesrules": {"type": ["list", "dict"]}},
        "remove": {"type": "dict", "nullable": True, "valuesrules": {"type": "list", "schema": {"type": "string"}}},
        "limits": {"type": "dict", "nullable": True},
    },
    allow_unknown=True,
)


def shaped(validator, document):
    """Result[document, RoutingInvalid]"""
    if validator.validate(document, normalize=False):
        return Ok(document)
    name, found = next(iter(validator.errors.items()))
    return Error(RoutingInvalid(str(name), str(found[0])[:200]))


def weights_of(item):
    """(service, weight) pairs of a route; weights are whole numbers."""
    if item.distribution is None:
        return () if item.target is None else ((item.target, 1),)
    scale = 1 if all(share.share == int(share.share) for share in item.distribution) else 1000
    return tuple((share.target, round(share.share * scale)) for share in item.distribution)


def doubles(values):
    """The first value that comes twice, or None."""
    seen = set()
    return next((value for value in values if value in seen or seen.add(value)), None)


def faults(document):
    """What makes a document of the right shape invalid."""
    routes, services = document.route_table, document.service_table
    known = {service.name for service in services}
    for name, values in (("route-table", [r.name for r in routes]), ("service-table", [s.name for s in services])):
        if doubles(values) is not None:
            yield RoutingInvalid(name, "two items have the same name")
    if doubles((route.host.lower(), route.path_prefix) for route in routes) is not None:
        yield RoutingInvalid("route-table", "two routes have the same host and prefix")
    for route in routes:
        weights = weights_of(route)
        if not route.guard_ms > 0:
            yield RoutingInvalid(route.name, "guard-ms must be above 0")
        if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
            yield RoutingInvalid(route.name, "path-prefix must begin and end with a slash")
        if any(weight < 0 for _, weight in weights) or not sum(weight for _, weight in weights):
            yield RoutingInvalid(route.name, "the weights add up to nothing")
        if any(service not in known for service, _ in weights):
            yield RoutingInvalid(route.name, "names an unknown service")


def milliseconds(value, default=0):
    """A time in whole milliseconds, or the default where there is none."""
    return default if value is None else max(1, round(value)) if value > 0 else 0


def route_of(item):
    """A route in the product's own terms."""
    timeout_ms = milliseconds(item.guard_ms)
    return Route(
        name=item.name,
        host=item.host.lower(),
        prefix=item.path_prefix,
        kind=item.route_class if item.route_class in KINDS else "unsafe",
        timeout_ms=timeout_ms,
        target_latency_ms=milliseconds(item.target_latency_ms, timeout_ms),
        rank=item.precedence or 0,
        weights=weights_of(item),
        attempts=max(1, item.max_attempts or 1),
        retained=bool(item.retained),
        retention_ms=milliseconds((item.retention_s or 0) * 1000),
        resumable=bool(item.resumable),
        max_event_gap_ms=milliseconds(item.gap_target_ms),
    )


def service_of(item):
    """A service in the product's own terms."""
    engine = item.engine or Engine()
    return Service(
        name=item.name,
        max_connections=item.max_connections,
        dedupes=bool(item.self_dedup),
        event_tokens=engine.event_tokens or 0,
        slots=engine.capacity or 0,
        cache_tokens=engine.cache_tokens or 0,
    )


def bounds_of(item):
    """Bounds on clients in the product's own terms."""
    item, default = item or BoundItem(), ClientBounds()
    return ClientBounds(
        header_bytes=item.max_header_bytes or default.header_bytes,
        body_bytes=item.max_body_bytes or default.body_bytes,
        header_ms=milliseconds(item.header_guard_ms) or default.header_ms,
        idle_ms=milliseconds(item.idle_ms) or default.idle_ms,
    )


def translate(document):
    """A valid document as Routing."""
    return Routing(
        version=document.issue,
        routes=tuple(map(route_of, document.route_table)),
        services={item.name: service_of(item) for item in document.service_table},
        bounds=bounds_of(document.limits),
    )


def check(document):
    """Result[(document, Routing), RoutingInvalid] of a decoded document."""
    whole = shaped(WHOLE, document)
    if whole.is_error():
        return whole
    try:
        known = msgspec.convert(document, Document)
    except msgspec.ValidationError as fault:
        text, _, where = str(fault).partition(" - at ")
        return Error(RoutingInvalid(where.strip("`"), text))
    fault = next(faults(known), None)
    return Error(fault) if fault else Ok((document, translate(known)))


def parse(body):
    """Result[(document, Routing), RoutingInvalid] of bytes as sent."""
    return read_json(body).bind(check)


def parse_change(body):
    """Result[change, RoutingInvalid] of bytes as sent."""
    return read_json(body).bind(lambda change: shaped(CHANGE, change)).bind(named_once)


def named_once(change):
    """Whether no name comes twice in a change; -> Result[change, RoutingInvalid]."""
    for table, items in (change.get("upsert") or {}).items():
        if isinstance(items, dict):
            continue
        if not all(isinstance(name_of(item), str) for item in items):
            return Error(RoutingInvalid(f"upsert.{table}", "an item has no name"))
        if doubles(map(name_of, items)) is not None:
            return Error(RoutingInvalid(f"upsert.{table}", "two items have the same name"))
    return Ok(change)


def name_of(item):
    """The name of a route or service in a document as read."""
    return item.get("name") if isinstance(item, dict) else None


def items_of(document, table):
    """The items of a table of a document as read."""
    found = document.get(table)
    return found if isinstance(found, list) else []


def merge(document, change):
    """The document with named items removed, then replaced in place or added; unknown names are no fault."""
    merged = {**document, "issue": change["issue"]}
    if change.get("limits") is not None:
        merged["limits"] = change["limits"]
    for table, gone in (change.get("remove") or {}).items():
        if table in merged and gone:
            gone = set(gone)
            merged[table] = [item for item in items_of(merged, table) if name_of(item) not in gone]
    for table, items in (change.get("upsert") or {}).items():
        if isinstance(items, dict):
            merged[table] = items
            continue
        fresh = {item["name"]: item for item in items}
        kept = [fresh.pop(name_of(item), item) for item in items_of(merged, table)]
        merged[table] = kept + list(fresh.values())
    return merged


def digest(kind, document):
    """The same for two requests that say the same."""
    return sha256(f"{kind} {json.dumps(document, sort_keys=True)}".encode()).digest()[:DIGEST_BYTES]


def to_body(document):
    """The bytes that are kept and told to all daemons for a document."""
    text = json.dumps(document, separators=(",", ":"), allow_nan=False).encode()
    return msgspec.json.encode(Stored(Raw(text)))


def document_of(body):
    """A document's bytes of a stored body; an empty body is the empty configuration."""
    return bytes(msgspec.json.decode(body, type=Stored).document) if body else EMPTY


def routing_from_body(body):
    """Routing of a stored body."""
    return translate(msgspec.json.decode(document_of(body), type=Document))
