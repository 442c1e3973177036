"""HTTP protocol of runners: headers of requests to a runner and the header of its response."""

from frostpost.proxy.models import RunnerHead, Wire

from .header_names import (
    ATTEMPT_ID,
    AUTHORIZATION,
    HOP_BY_HOP,
    INSTANCE_ID,
    INSTANCE_LOAD,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    SERVER_SEAL,
    SUBSCRIBER,
    TARGET_INSTANCE,
    TIME_REMAINING,
    connection_options,
)

REPLACED_HEADERS = frozenset((TIME_REMAINING, TARGET_INSTANCE, AUTHORIZATION, SUBSCRIBER))


def request_headers(call, runner, remaining_ms):
    """Return the headers of a request to a runner.

    Those of the client's request, with the time remaining, the runner's id, the tenant and, if the stream is resumed,
    the id of its last event.
    """
    resumed = bool(call.last_event_id)
    headers = [
        (name, value)
        for name, value in call.headers
        if (lower_name := name.lower()) not in REPLACED_HEADERS and not (resumed and lower_name == LAST_EVENT_ID)
    ]
    headers.append((b"X-Time-Remaining", b"%d" % max(0, int(remaining_ms))))
    headers.append((b"X-Target-Instance", runner.id.encode("latin-1")))
    if call.tenant:
        headers.append((b"X-Subscriber", call.tenant.encode("utf-8")))
    if resumed:
        headers.append((b"Last-Event-Id", call.last_event_id.encode("latin-1")))
    return headers


def parse_load(value):
    """Parse the load that a runner reports into three integers, or None if it is invalid."""
    parts = value.split(b",")
    try:
        load = tuple(int(part) for part in parts[:3])
    except ValueError:
        return None
    return load if len(load) == 3 and min(load) >= 0 else None


def parse_keep_alive_ms(value):
    """Return the timeout of a Keep-Alive header in milliseconds, 0 if it has none."""
    for part in value.split(b","):
        name, _, text = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and text.strip().isdigit():
            return int(text) * 1000
    return 0


def joined_values(headers):
    """Return header values by lower-case name; repeated headers are joined, so that they match no single value."""
    values = {}
    for name, value in headers:
        lower_name = name.lower()
        values[lower_name] = values[lower_name] + b", " + value if lower_name in values else value
    return values


def read_head(status, headers):
    """Parse a status and (name, value) pairs into a RunnerHead."""
    values = joined_values(headers)
    connection_values = [value for name, value in headers if name.lower() == b"connection"]
    excluded = HOP_BY_HOP | connection_options(connection_values)
    return RunnerHead(
        status=status,
        headers=[(name, value) for name, value in headers if name.lower() not in excluded],
        attempt=values.get(ATTEMPT_ID, b"").decode("latin-1"),
        not_executed=status == 421 or NOT_EXECUTED in values,
        sealed=sum(name.lower() == SERVER_SEAL for name, _ in headers) == 1 and bool(values[SERVER_SEAL]),
        instance=values.get(INSTANCE_ID, b"").decode("latin-1"),
        load=parse_load(values[INSTANCE_LOAD]) if INSTANCE_LOAD in values else None,
        close=any(token.strip().lower() == b"close" for value in connection_values for token in value.split(b",")),
        keep_alive_ms=parse_keep_alive_ms(values.get(b"keep-alive", b"")),
    )


def make_wire():
    """Create the `Wire` of the platform's runners."""
    return Wire(request_headers=request_headers, read_head=read_head)
