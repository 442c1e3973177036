"""Admission of turns and lookups: body checks and the admission filters in their order."""

from json import JSONDecodeError, loads

from expression import Error, Ok
from msgspec import Struct

from frostpost.daemon.context import clock_ms
from frostpost.daemon.core import holds_lease

from . import errors

IN_FLIGHT_FRACTIONS = {"urgent": 1.0, "normal": 0.8, "batch": 0.6}
MIN_LAG_SHEDDING_FRACTION = 0.05
LAG_FACTORS = {"urgent": 4.0, "normal": 1.0, "batch": 0.6}


class DuplicateFieldError(ValueError):
    """A JSON object names a field twice."""


class Call(Struct):
    """A turn or lookup that is being served; times in milliseconds.

    cancel: function that stops the work when the client disconnects, or None. may_proceed: checked just before the
    request is written to a runner, or None. pieces_sent: pieces of the output written to the client.
    """

    id: str
    kind: str
    tenant: str
    route_name: str
    started_ms: int
    raw_body: bytes = b""
    document: dict = {}
    route: object = None
    deadline_ms: int = 0
    client_gone: bool = False
    cancel: object = None
    may_proceed: object = None
    request: object = None
    pieces_sent: int = 0


def unique_fields(pairs):
    """Return the fields of an object; raises DuplicateFieldError for a repeated name."""
    fields_by_name = {}
    for key, value in pairs:
        if key in fields_by_name:
            raise DuplicateFieldError(key)
        fields_by_name[key] = value
    return fields_by_name


def parse_object(raw_body):
    """Decode a JSON object; returns Error(BadBody) for anything else."""
    try:
        document = loads(raw_body, object_pairs_hook=unique_fields)
    except DuplicateFieldError as error:
        return Error(errors.BadBody(f"/{error}", "this field is there twice"))
    except (JSONDecodeError, UnicodeDecodeError, RecursionError) as error:
        return Error(errors.BadBody("/", f"no JSON: {type(error).__name__}"))
    if not isinstance(document, dict):
        return Error(errors.BadBody("/", "must be an object"))
    return Ok(document)


BODY_FIELDS = {
    "turns": {"program": (str, True), "input": (str, True), "deadline_ms": (int, False), "max_output": (int, False)},
    "lookups": {"input": (str, True), "key": (str, False), "deadline_ms": (int, False)},
}


def check_fields(kind, document):
    """Return BadBody for the first field with an invalid name, type or size, else None."""
    fields = BODY_FIELDS[kind]
    for name in document:
        if name not in fields:
            return errors.BadBody(f"/{name}", "is no known field")
    for name, (field_type, is_required) in fields.items():
        if name not in document:
            if is_required:
                return errors.BadBody(f"/{name}", "is missing")
            continue
        value = document[name]
        if not isinstance(value, field_type) or isinstance(value, bool):
            return errors.BadBody(f"/{name}", f"must be {field_type.__name__}")
        if field_type is int and value <= 0:
            return errors.BadBody(f"/{name}", "must be above 0")
        if name in ("program", "key") and not 0 < len(value) <= 200:
            return errors.BadBody(f"/{name}", "must have 1 to 200 characters")
    return None


def filter_shutting_down(ctx, call):
    """Refuse calls while the daemon is shutting down."""
    return errors.Leaving() if ctx.shutting_down else None


def filter_body(ctx, call):
    """Parse and check the body."""
    max_bytes = ctx.settings.doors.body_bytes
    if len(call.raw_body) > max_bytes:
        return errors.TooLong(max_bytes)
    result = parse_object(call.raw_body)
    if result.is_error():
        return result.error
    call.document = result.ok
    return check_fields(call.kind, call.document)


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
    required_kind = {"turns": "turn", "lookups": "lookup"}[call.kind]
    if call.route is None or call.route.kind != required_kind:
        return errors.NoRoute(f"tenant {call.tenant} has no {required_kind} route {call.route_name}")
    return None


def filter_idempotency_key(ctx, call):
    """Check that an idempotency key is given where the route needs one, and nowhere else."""
    if call.route.repeat == "keyed" and call.kind == "lookups" and "key" not in call.document:
        return errors.BadBody("/key", "this route needs a key")
    if "key" in call.document and call.route.repeat != "keyed":
        return errors.BadBody("/key", "this route takes no key")
    return None


def filter_deadline(ctx, call):
    """Set the call's deadline to the lower of the route's and the client's; refuse a call past it."""
    call.deadline_ms = min(call.document.get("deadline_ms", call.route.deadline_ms), call.route.deadline_ms)
    return errors.DeadlineExceeded() if remaining_ms(ctx, call) <= 0 else None


def filter_overload(ctx, call):
    """Refuse calls when too many are in flight or the event loop lags; less urgent calls are refused first."""
    doors, urgency = ctx.settings.doors, call.route.urgency
    if ctx.requests_in_flight >= IN_FLIGHT_FRACTIONS[urgency] * doors.in_flight:
        return errors.Crowded()
    if (
        ctx.requests_in_flight >= MIN_LAG_SHEDDING_FRACTION * doors.in_flight
        and ctx.lag_ms >= LAG_FACTORS[urgency] * doors.lag_ms
    ):
        return errors.Crowded()
    return None


ADMISSION_FILTERS = (
    filter_shutting_down,
    filter_serving,
    filter_route,
    filter_overload,
    filter_body,
    filter_idempotency_key,
    filter_deadline,
)


def remaining_ms(ctx, call):
    """Return the milliseconds until the call's deadline; negative after it."""
    return call.deadline_ms - (clock_ms(ctx) - call.started_ms)


def admit(ctx, call):
    """Run the filters in order; return the first error, or None."""
    for admission_filter in ADMISSION_FILTERS:
        error = admission_filter(ctx, call)
        if error is not None:
            return error
    return None


def parse_body(request):
    """Parse the body of a request."""
    request.content.seek(0)
    return parse_object(request.content.read())


def create_call(ctx, kind, tenant, route, request):
    """Create the Call for a request; its id is the client's X-Request header or a new token."""
    request.content.seek(0)
    return Call(
        request.getHeader("x-request") or ctx.machine.token(8),
        kind,
        tenant,
        route,
        clock_ms(ctx),
        raw_body=request.content.read(),
        request=request,
    )
