"""Validation of configuration documents: their schema, and the errors that it doesn't cover."""

from cerberus import Validator
from expression import Error, Ok

from frostpost.proxy.credentials import is_tenant_name

from .strict_json import RoutingInvalid

MAX_ISSUE = (1 << 63) - 1
MAX_SCALING_COUNT = 1 << 31
MAX_BOOT_S = 1e9
DOCUMENT_VALIDATOR = Validator(
    {
        "issue": {"type": "integer", "required": True, "min": 1, "max": MAX_ISSUE},
        "route-table": {"type": "list", "required": True},
        "service-table": {"type": "list", "required": True},
        "limits": {"type": "dict", "nullable": True},
        "subscribers": {"type": "list"},
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


def scaling_errors(services):
    """Yield the errors of the bounds between which runners of services are ordered."""
    for service in services:
        scaling = service.scaling
        if scaling is None:
            continue
        if not 0 <= scaling.min_count <= scaling.max_count <= MAX_SCALING_COUNT:
            yield RoutingInvalid(service.name, "min-count and max-count must be in order and not negative")
        if not 0 <= scaling.boot_s <= MAX_BOOT_S:
            yield RoutingInvalid(service.name, "boot-s must not be negative")


def subscriber_errors(subscribers):
    """Yield the errors of the tenants and their credentials."""
    if not all(is_tenant_name(item.name) for item in subscribers):
        yield RoutingInvalid("subscribers", "a name is empty or holds characters that no header may")
    if first_duplicate(credential for item in subscribers for credential in set(item.credentials)) is not None:
        yield RoutingInvalid("subscribers", "two subscribers have the same credential")


def document_errors(document):
    """Yield the semantic errors of a document that matches the schema."""
    routes, services = document.route_table, document.service_table
    service_names = {service.name for service in services}
    for name, values in (
        ("route-table", [route_item.name for route_item in routes]),
        ("service-table", [service_item.name for service_item in services]),
        ("subscribers", [subscriber.name for subscriber in document.subscribers or ()]),
    ):
        if first_duplicate(values) is not None:
            yield RoutingInvalid(name, "two items have the same name")
    if first_duplicate((route.host.lower(), route.path_prefix) for route in routes) is not None:
        yield RoutingInvalid("route-table", "two routes have the same host and prefix")
    yield from subscriber_errors(document.subscribers or ())
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
    yield from scaling_errors(services)
