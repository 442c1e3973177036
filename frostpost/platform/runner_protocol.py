"""How runners are spoken to: headers of a request sent to one, and the head of its answer."""

from frostpost.proxy.models import RunnerHead, Wire

from .header_names import ATTEMPT, HOP_BY_HOP, INSTANCE, LAST_EVENT, LEFT, LOAD, NOT_RUN, SEAL, TARGET, connection_names

REPLACED = frozenset((LEFT, TARGET))


def request_headers(call, runner, left_ms):
    """The call's headers with the time left, the runner's id and the last event put in."""
    resumed = bool(call.last_event_id)
    headers = [
        (name, value)
        for name, value in call.headers
        if (low := name.lower()) not in REPLACED and not (resumed and low == LAST_EVENT)
    ]
    headers.append((b"X-Time-Remaining", b"%d" % max(0, int(left_ms))))
    headers.append((b"X-Target-Instance", runner.id.encode("latin-1")))
    if resumed:
        headers.append((b"Last-Event-Id", call.last_event_id.encode("latin-1")))
    return headers


def load_of(value):
    """The load that a runner tells: three whole numbers; None where it can't be read."""
    parts = value.split(b",")
    try:
        load = tuple(int(part) for part in parts[:3])
    except ValueError:
        return None
    return load if len(load) == 3 and min(load) >= 0 else None


def keep_ms_of(value):
    """How long a runner keeps an idle connection, in milliseconds; 0 where it doesn't tell."""
    for part in value.split(b","):
        name, _, text = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and text.strip().isdigit():
            return int(text) * 1000
    return 0


def single_values(headers):
    """Value of each name in lower case; values of a name that comes again are joined, so that they fit none."""
    found = {}
    for name, value in headers:
        low = name.lower()
        found[low] = found[low] + b", " + value if low in found else value
    return found


def read_head(status, headers):
    """RunnerHead of a status and (name, value) pairs."""
    found = single_values(headers)
    connection = [value for name, value in headers if name.lower() == b"connection"]
    gone = HOP_BY_HOP | connection_names(connection)
    return RunnerHead(
        status=status,
        headers=[(name, value) for name, value in headers if name.lower() not in gone],
        attempt=found.get(ATTEMPT, b"").decode("latin-1"),
        not_executed=status == 421 or NOT_RUN in found,
        sealed=sum(name.lower() == SEAL for name, _ in headers) == 1 and bool(found[SEAL]),
        instance=found.get(INSTANCE, b"").decode("latin-1"),
        load=load_of(found[LOAD]) if LOAD in found else None,
        close=any(token.strip().lower() == b"close" for value in connection for token in value.split(b",")),
        keep_alive_ms=keep_ms_of(found.get(b"keep-alive", b"")),
    )


def wire():
    """How requests to runners are written and their answers' heads are read."""
    return Wire(request_headers=request_headers, read_head=read_head)
