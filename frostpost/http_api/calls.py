"""A request on its way in: body checks and the chain of admission filters."""

from json import JSONDecodeError, loads

from expression import Error, Ok
from msgspec import Struct

from frostpost.daemon.context import clock_ms
from frostpost.daemon.core import holds_lease

from . import errors

SHARES = {"urgent": 1.0, "normal": 0.8, "batch": 0.6}
BUSY = 0.05
LAGS = {"urgent": 4.0, "normal": 1.0, "batch": 0.6}


class DuplicateFieldError(ValueError):
    """A JSON object names a field twice."""


class Call(Struct):
    """A turn or lookup that is being served; times in milliseconds."""

    id: str
    kind: str
    tenant: str
    route_name: str
    started_ms: int
    raw: bytes = b""
    document: dict = {}
    route: object = None
    deadline_ms: int = 0
    gone: bool = False
    stop: object = None
    still: object = None
    request: object = None
    emitted: int = 0


def single(pairs):
    """Return an object's fields, or raise DuplicateFieldError."""
    found = {}
    for key, value in pairs:
        if key in found:
            raise DuplicateFieldError(key)
        found[key] = value
    return found


def parse(raw):
    """Decode a JSON object; Error(BadBody) for anything else."""
    try:
        document = loads(raw, object_pairs_hook=single)
    except DuplicateFieldError as error:
        return Error(errors.BadBody(f"/{error}", "this field is there twice"))
    except (JSONDecodeError, UnicodeDecodeError, RecursionError) as error:
        return Error(errors.BadBody("/", f"no JSON: {type(error).__name__}"))
    if not isinstance(document, dict):
        return Error(errors.BadBody("/", "must be an object"))
    return Ok(document)


FIELDS = {
    "turns": {"program": (str, True), "input": (str, True), "deadline_ms": (int, False), "max_output": (int, False)},
    "lookups": {"input": (str, True), "key": (str, False), "deadline_ms": (int, False)},
}


def shaped(kind, document):
    """Return BadBody for the first field of a body that has a wrong name, type or size, else None."""
    fields = FIELDS[kind]
    for name in document:
        if name not in fields:
            return errors.BadBody(f"/{name}", "is no known field")
    for name, (type_, needed) in fields.items():
        if name not in document:
            if needed:
                return errors.BadBody(f"/{name}", "is missing")
            continue
        value = document[name]
        if not isinstance(value, type_) or isinstance(value, bool):
            return errors.BadBody(f"/{name}", f"must be {type_.__name__}")
        if type_ is int and value <= 0:
            return errors.BadBody(f"/{name}", "must be above 0")
        if name in ("program", "key") and not 0 < len(value) <= 200:
            return errors.BadBody(f"/{name}", "must have 1 to 200 characters")
    return None


def filter_leaving(ctx, call):
    """Refuse calls while the daemon is leaving."""
    return errors.Leaving() if ctx.shutting_down else None


def filter_body(ctx, call):
    """Read and check the body."""
    most = ctx.settings.doors.body_bytes
    if len(call.raw) > most:
        return errors.TooLong(most)
    result = parse(call.raw)
    if result.is_error():
        return result.error
    call.document = result.ok
    return shaped(call.kind, call.document)


def filter_serving(ctx, call):
    """Refuse calls without a lease or with an outdated configuration."""
    if not holds_lease(ctx.core, clock_ms(ctx)):
        return errors.NoPrimary()
    if ctx.effective_config_index < ctx.required_config_index:
        return errors.ConfigChanging()
    return None


def filter_route(ctx, call):
    """Find the route that the path names."""
    call.route = ctx.routes.get((call.tenant, call.route_name))
    wanted = {"turns": "turn", "lookups": "lookup"}[call.kind]
    if call.route is None or call.route.kind != wanted:
        return errors.NoRoute(f"tenant {call.tenant} has no {wanted} route {call.route_name}")
    return None


def filter_key(ctx, call):
    """Check that an idempotency key is given where the route needs one, and nowhere else."""
    if call.route.repeat == "keyed" and call.kind == "lookups" and "key" not in call.document:
        return errors.BadBody("/key", "this route needs a key")
    if "key" in call.document and call.route.repeat != "keyed":
        return errors.BadBody("/key", "this route takes no key")
    return None


def filter_deadline(ctx, call):
    """Set the call's deadline: the lower of the route's and the caller's."""
    call.deadline_ms = min(call.document.get("deadline_ms", call.route.deadline_ms), call.route.deadline_ms)
    return errors.DeadlineExceeded() if remaining_ms(ctx, call) <= 0 else None


def filter_crowd(ctx, call):
    """Refuse calls by urgency when too many are in flight or the event loop lags."""
    doors, urgency = ctx.settings.doors, call.route.urgency
    if ctx.requests_in_flight >= SHARES[urgency] * doors.in_flight:
        return errors.Crowded()
    if ctx.requests_in_flight >= BUSY * doors.in_flight and ctx.lag_ms >= LAGS[urgency] * doors.lag_ms:
        return errors.Crowded()
    return None


CHAIN = (filter_leaving, filter_serving, filter_route, filter_crowd, filter_body, filter_key, filter_deadline)


def remaining_ms(ctx, call):
    """Return the milliseconds that are left until the call's deadline."""
    return call.deadline_ms - (clock_ms(ctx) - call.started_ms)


def admit(ctx, call):
    """Run the filters in order; return the first error, or None."""
    for filter_ in CHAIN:
        error = filter_(ctx, call)
        if error is not None:
            return error
    return None


def body_of(request):
    """Parse the body of a request."""
    request.content.seek(0)
    return parse(request.content.read())


def make(ctx, kind, tenant, route, request):
    """Make a Call of a request."""
    request.content.seek(0)
    return Call(
        request.getHeader("x-request") or ctx.machine.token(8),
        kind,
        tenant,
        route,
        clock_ms(ctx),
        raw=request.content.read(),
        request=request,
    )
