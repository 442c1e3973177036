from json import JSONDecodeError, loads

from expression import Error, Ok
from msgspec import Struct

from frostpost.daemon.context import clock_ms
from frostpost.daemon.core import lease_ok

from . import faults

SHARES = {"urgent": 1.0, "normal": 0.8, "batch": 0.6}
BUSY = 0.05
LAGS = {"urgent": 4.0, "normal": 1.0, "batch": 0.6}


class DuplicateFieldError(ValueError):
    pass


class Call(Struct):
    id: str
    kind: str
    tenant: str
    lane_name: str
    started_ms: int
    raw: bytes = b""
    document: dict = {}
    lane: object = None
    limit_ms: int = 0
    gone: bool = False
    stop: object = None
    still: object = None
    request: object = None
    emitted: int = 0


def single(pairs):
    found = {}
    for key, value in pairs:
        if key in found:
            raise DuplicateFieldError(key)
        found[key] = value
    return found


def parse(raw):
    try:
        document = loads(raw, object_pairs_hook=single)
    except DuplicateFieldError as fault:
        return Error(faults.BadBody(f"/{fault}", "this field is there twice"))
    except (JSONDecodeError, UnicodeDecodeError, RecursionError) as fault:
        return Error(faults.BadBody("/", f"no JSON: {type(fault).__name__}"))
    if not isinstance(document, dict):
        return Error(faults.BadBody("/", "must be an object"))
    return Ok(document)


FIELDS = {
    "turns": {"program": (str, True), "input": (str, True), "limit_ms": (int, False), "max_output": (int, False)},
    "lookups": {"input": (str, True), "key": (str, False), "limit_ms": (int, False)},
}


def shaped(kind, document):
    fields = FIELDS[kind]
    for name in document:
        if name not in fields:
            return faults.BadBody(f"/{name}", "is no known field")
    for name, (type_, needed) in fields.items():
        if name not in document:
            if needed:
                return faults.BadBody(f"/{name}", "is missing")
            continue
        value = document[name]
        if not isinstance(value, type_) or isinstance(value, bool):
            return faults.BadBody(f"/{name}", f"must be {type_.__name__}")
        if type_ is int and value <= 0:
            return faults.BadBody(f"/{name}", "must be above 0")
        if name in ("program", "key") and not 0 < len(value) <= 200:
            return faults.BadBody(f"/{name}", "must have 1 to 200 characters")
    return None


def filter_leaving(ctx, call):
    return faults.Leaving() if ctx.leaving else None


def filter_body(ctx, call):
    most = ctx.settings.doors.body_bytes
    if len(call.raw) > most:
        return faults.TooLong(most)
    result = parse(call.raw)
    if result.is_error():
        return result.error
    call.document = result.ok
    return shaped(call.kind, call.document)


def filter_serving(ctx, call):
    if not lease_ok(ctx.core, clock_ms(ctx)):
        return faults.NoPrimary()
    if ctx.honoured < ctx.need_config:
        return faults.ConfigChanging()
    return None


def filter_lane(ctx, call):
    call.lane = ctx.lanes.get((call.tenant, call.lane_name))
    wanted = {"turns": "turn", "lookups": "lookup"}[call.kind]
    if call.lane is None or call.lane.kind != wanted:
        return faults.NoLane(f"tenant {call.tenant} has no {wanted} lane {call.lane_name}")
    return None


def filter_key(ctx, call):
    if call.lane.repeat == "keyed" and call.kind == "lookups" and "key" not in call.document:
        return faults.BadBody("/key", "this lane needs a key")
    if "key" in call.document and call.lane.repeat != "keyed":
        return faults.BadBody("/key", "this lane takes no key")
    return None


def filter_limit(ctx, call):
    call.limit_ms = min(call.document.get("limit_ms", call.lane.limit_ms), call.lane.limit_ms)
    return faults.LimitPassed() if remaining_ms(ctx, call) <= 0 else None


def filter_crowd(ctx, call):
    doors, urgency = ctx.settings.doors, call.lane.urgency
    if ctx.flights >= SHARES[urgency] * doors.in_flight:
        return faults.Crowded()
    if ctx.flights >= BUSY * doors.in_flight and ctx.lag_ms >= LAGS[urgency] * doors.lag_ms:
        return faults.Crowded()
    return None


CHAIN = (filter_leaving, filter_serving, filter_lane, filter_crowd, filter_body, filter_key, filter_limit)


def remaining_ms(ctx, call):
    return call.limit_ms - (clock_ms(ctx) - call.started_ms)


def admit(ctx, call):
    for filter_ in CHAIN:
        fault = filter_(ctx, call)
        if fault is not None:
            return fault
    return None


def body_of(request):
    request.content.seek(0)
    return parse(request.content.read())


def make(ctx, kind, tenant, lane, request):
    request.content.seek(0)
    return Call(
        request.getHeader("x-request") or ctx.machine.token(8),
        kind,
        tenant,
        lane,
        clock_ms(ctx),
        raw=request.content.read(),
        request=request,
    )
