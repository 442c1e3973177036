"""A request of a client, read into `Call`."""

from expression import Error, Ok

from frostpost.proxy.failures import BadRequest
from frostpost.proxy.models import Call

from . import header_names as names

DEFAULT_LEFT_MS = 30000
DROPPED = names.HOP_BY_HOP | {b"host", b"expect"}
BAD_FIELD = BadRequest("a header field is not as it should be")


def split_headers(raw):
    """(headers to pass on, single fields by name), or None when one of these fields comes twice."""
    raw = list(raw)
    connection = [value for name, values in raw if name.lower() == b"connection" for value in values]
    dropped = DROPPED | names.connection_names(connection) if connection else DROPPED
    passed, fields = [], {}
    for name, values in raw:
        low = name.lower()
        if low in names.REQUEST_FIELDS:
            if len(values) != 1:
                return None
            fields[low] = values[0]
        if low not in dropped:
            passed.extend((name, value) for value in values)
    return passed, fields


def number(fields, name, default=0):
    """A whole number of a header field, or the default where it is missing; ValueError where it is none."""
    return int(float(fields[name])) if name in fields else default


def text(fields, name):
    """A header field as text; empty where it is missing."""
    return fields[name].decode("latin-1") if name in fields else ""


def parts_of(value):
    """The prompt parts of a header: (name, tokens) pairs in order."""
    pairs = (part.strip().rpartition(":") for part in value.split(",") if part.strip())
    return tuple((part, int(tokens)) for part, _, tokens in pairs)


def call_of(request, started_ms):
    """Result[Call, BadRequest] of one request."""
    split = split_headers(request.requestHeaders.getAllRawHeaders())
    if split is None:
        return Error(BAD_FIELD)
    headers, fields = split
    if not fields.get(names.ATTEMPT):
        return Error(BadRequest("the attempt has no id"))
    try:
        tokens = [int(part) for part in text(fields, names.TOKENS).split(",") if part.strip()]
        prompt, most = (*tokens, 0, 0)[:2]
        return Ok(
            Call(
                attempt=text(fields, names.ATTEMPT),
                method=request.method,
                uri=request.uri,
                host=text(fields, b"host").partition(":")[0].lower(),
                headers=headers,
                body=request.body,
                started_ms=started_ms,
                deadline_ms=started_ms + number(fields, names.LEFT, DEFAULT_LEFT_MS),
                key=text(fields, names.KEY),
                program=text(fields, names.PROGRAM),
                session_id=text(fields, names.LINE),
                budget=number(fields, names.BUDGET),
                previous_turn=text(fields, names.PREVIOUS),
                prompt_tokens=prompt,
                max_output_tokens=most,
                prompt_parts=parts_of(text(fields, names.PARTS)),
                program_remaining_ms=number(fields, names.PROGRAM_LEFT),
                last_event_id=text(fields, names.LAST_EVENT),
            )
        )
    except (ValueError, OverflowError):
        return Error(BAD_FIELD)
