"""Parses a client's HTTP request into a `Call`."""

from expression import Error, Ok

from frostpost.proxy.credentials import credential_digest
from frostpost.proxy.failures import BadRequest
from frostpost.proxy.models import Call

from . import header_names

DEFAULT_TIME_REMAINING_MS = 30000
BEARER_SCHEME = b"bearer"
EXCLUDED_HEADERS = header_names.HOP_BY_HOP | {
    b"host",
    b"expect",
    header_names.AUTHORIZATION,
    header_names.SUBSCRIBER,
}
INVALID_HEADER = BadRequest("a header field is not as it should be")


def split_headers(raw_headers):
    """Split raw headers into those to forward and the values of single-valued ones by lower-case name.

    Returns None if a single-valued header is repeated.
    """
    raw_headers = list(raw_headers)
    connection_values = [value for name, values in raw_headers if name.lower() == b"connection" for value in values]
    excluded = (
        EXCLUDED_HEADERS | header_names.connection_options(connection_values) if connection_values else EXCLUDED_HEADERS
    )
    forwarded, fields = [], {}
    for name, values in raw_headers:
        lower_name = name.lower()
        if lower_name in header_names.REQUEST_HEADERS:
            if len(values) != 1:
                return None
            fields[lower_name] = values[0]
        if lower_name not in excluded:
            forwarded.extend((name, value) for value in values)
    return forwarded, fields


def integer_field(fields, name, default=0):
    """Return a header field as an integer, or the default if it is missing; raises ValueError if it is not a number."""
    return int(float(fields[name])) if name in fields else default


def text_field(fields, name):
    """Return a header field as text, empty if it is missing."""
    return fields[name].decode("latin-1") if name in fields else ""


def parse_credential(fields):
    """Return the digest of the bearer credential, or an empty string if there is none."""
    scheme, _, credential = fields.get(header_names.AUTHORIZATION, b"").partition(b" ")
    credential = credential.strip(b" \t")
    return credential_digest(credential) if scheme.lower() == BEARER_SCHEME and credential else ""


def parse_prompt_parts(value):
    """Parse the prompt prefix header into (part, token count) pairs, in order."""
    items = (item.strip().rpartition(":") for item in value.split(",") if item.strip())
    return tuple((part_name, int(token_count)) for part_name, _, token_count in items)


def parse_request(request, started_ms):
    """Parse one request. Returns Result[Call, BadRequest]."""
    parsed = split_headers(request.requestHeaders.getAllRawHeaders())
    if parsed is None:
        return Error(INVALID_HEADER)
    headers, fields = parsed
    if not fields.get(header_names.ATTEMPT_ID):
        return Error(BadRequest("the attempt has no id"))
    try:
        token_counts = [int(item) for item in text_field(fields, header_names.TOKEN_COUNT).split(",") if item.strip()]
        prompt_tokens, max_output_tokens = (*token_counts, 0, 0)[:2]
        return Ok(
            Call(
                attempt=text_field(fields, header_names.ATTEMPT_ID),
                method=request.method,
                uri=request.uri,
                host=text_field(fields, b"host").partition(":")[0].lower(),
                headers=headers,
                body=request.body,
                started_ms=started_ms,
                deadline_ms=started_ms + integer_field(fields, header_names.TIME_REMAINING, DEFAULT_TIME_REMAINING_MS),
                key=text_field(fields, header_names.OPERATION_KEY),
                program=text_field(fields, header_names.PROGRAM_ID),
                session_id=text_field(fields, header_names.SESSION_ID),
                budget=integer_field(fields, header_names.TOKEN_BUDGET, None),
                previous_turn=text_field(fields, header_names.PREVIOUS_TURN),
                prompt_tokens=prompt_tokens,
                max_output_tokens=max_output_tokens,
                prompt_parts=parse_prompt_parts(text_field(fields, header_names.PROMPT_PREFIX)),
                program_remaining_ms=integer_field(fields, header_names.PROGRAM_DEADLINE, None),
                last_event_id=text_field(fields, header_names.LAST_EVENT_ID),
                credential=parse_credential(fields),
            )
        )
    except (ValueError, OverflowError):
        return Error(INVALID_HEADER)
