"""Calls of the platform's operator, translated into the product's own operations.

No answer rests on this daemon's own copy: each but a syntactic 400 and a 404 for an unknown path follows a verdict that
was ordered after the call came. Where none comes in time, the answer is 503, well before the caller takes silence for a
failure: a change may be taken then or not, and is known again when it is sent again.
"""

from importlib import import_module

from expression import Error, Ok
from msgspec import Struct, json
from twisted.internet.defer import inlineCallbacks

from frostpost.cluster.agent_context import now_ms
from frostpost.cluster.lease_client import holds_lease
from frostpost.daemon.structured_log import log_event
from frostpost.proxy.failures import Unavailable
from frostpost.proxy.models import ClientBounds

from . import header_names as names
from . import routing
from .server import Server, reply

# After this much silence a caller goes on to another daemon; it waits longer for a large body.
SILENCE_MS, BYTES_PER_MS = 1000, 1000
# Shares of the silence: for a verdict, for a verdict without a lease, and for the whole answer.
CONTACT_RATIO, OUT_OF_TOUCH_RATIO, ANSWER_RATIO = 0.5, 0.2, 0.8
RETRY_MS, MOST_CHANNELS = 100, 128
BOUNDS = ClientBounds(body_bytes=64 << 20)
JSON = (b"Content-Type", b"application/json")
ROOT = b"/frostpost/"
RETIRE_STATUS = {"in_service": 200, "completed": 200, "unknown": 404, "few": 409}


class Change(Struct):
    """One change as asked for. make(held document's bytes) -> Result[(document, Routing), RoutingInvalid]."""

    issue: int
    base: int
    digest: bytes
    make: object


class Allowed(Struct):
    """Until when a call may wait: for its result, and for its answer."""

    contact_ms: int
    answer_ms: int


class Moved(Struct, frozen=True, tag="RoutingMoved"):
    """Another version is current."""

    version: int


class Refused(Struct, frozen=True):
    """Why a call isn't answered with 200, as the status and the error that its caller is told."""

    status: int
    error: object


def control_client():
    """`cluster.control_client`, imported on first use: an edge daemon never needs it."""
    return import_module("frostpost.cluster.control_client")


def allowed(agent, body_bytes=0):
    """What a call that has just come may wait."""
    now = now_ms(agent)
    contact = CONTACT_RATIO if holds_lease(agent) else OUT_OF_TOUCH_RATIO
    answer_ms = int(SILENCE_MS * ANSWER_RATIO) + body_bytes // BYTES_PER_MS
    return Allowed(now + int(SILENCE_MS * contact), now + answer_ms)


def remaining_ms(agent, until_ms):
    """Milliseconds until a moment, at least 0."""
    return max(0, until_ms - now_ms(agent))


def say_no(request, status, fault):
    """Answer with a status and a failure as JSON."""
    reply(request, status, json.encode(fault), [JSON])


def unavailable(request, fault):
    """Answer 503 with when to come back."""
    retry_ms = getattr(fault, "retry_ms", RETRY_MS)
    reply(request, 503, json.encode(fault), [JSON, (b"Retry-After", b"%g" % (retry_ms / 1000))])


def base_of(request):
    """The version that a change builds on; None where the header is missing or no number."""
    value = (request.getHeader(names.BASE) or b"").strip()
    return int(value) if value.isascii() and value.isdigit() and len(value) <= len(str(routing.MOST_ISSUE)) else None


def asked(request, kind):
    """Result[Change, RoutingInvalid] of a request; judged by what it says alone."""
    base = base_of(request)
    if base is None:
        return Error(routing.RoutingInvalid("X-Base-Revision", "is missing or no number"))
    if kind == "replace":
        return routing.parse(request.body).map(
            lambda found: Change(found[0]["issue"], base, routing.digest(kind, found[0]), lambda _: Ok(found))
        )
    return routing.parse_change(request.body).map(
        lambda change: Change(
            change["issue"],
            base,
            routing.digest(f"{kind} {base}", change),
            lambda held: routing.read_json(held).bind(lambda document: routing.check(routing.merge(document, change))),
        )
    )


def judged(change, held):
    """Result[body to take in, Refused] of a change that wasn't taken, by the version that was looked up for it."""
    if change.base != held.version:
        return Error(Refused(412, Moved(held.version)))
    if change.issue <= held.version:
        return Error(Refused(400, routing.RoutingInvalid("issue", "is not above the current one")))
    made = change.make(routing.document_of(held.body))
    return made.map(lambda found: routing.to_body(found[0])).map_error(lambda error: Refused(400, error))


@inlineCallbacks
def settle(agent, change, until):
    """Take a change in, or find it taken -> Result[version, Refused]."""
    held = yield control_client().read_routing(
        agent, remaining_ms(agent, until.contact_ms), change.issue, change.digest
    )
    if held.is_error():
        return Error(Refused(503, held.error))
    held = held.ok
    if held.uncertain:
        return Error(Refused(503, Unavailable(RETRY_MS, "may have been taken too long ago to be known")))
    if held.taken:
        result = yield control_client().wait_until_honoured(agent, change.issue, remaining_ms(agent, until.answer_ms))
        return result.map_error(lambda error: Refused(503, error))
    body = judged(change, held)
    if body.is_error():
        return body
    result = yield control_client().set_routing(
        agent, change.base, change.issue, body.ok, change.digest, remaining_ms(agent, until.answer_ms)
    )
    return result.map_error(refused)


def refused(error):
    """How a caller is told why the ledger didn't take its change."""
    if isinstance(error, control_client().RoutingConflict):
        return Refused(412, Moved(error.version))
    return Refused(503, error)


@inlineCallbacks
def change_routing(agent, request, kind):
    """Take a change of the configuration; kind: "replace" or "modify"."""
    until = allowed(agent, len(request.body))
    change = asked(request, kind)
    if change.is_error():
        say_no(request, 400, change.error)
        return
    result = yield settle(agent, change.ok, until)
    if result.is_ok():
        reply(request, 200, json.encode({"issue": change.ok.issue}), [JSON])
    elif result.error.status == 503:
        unavailable(request, result.error.error)
    else:
        say_no(request, result.error.status, result.error.error)


@inlineCallbacks
def query(agent, request):
    """Answer with the configuration in force."""
    looked = yield control_client().read_routing(agent, remaining_ms(agent, allowed(agent).contact_ms))
    if looked.is_error():
        unavailable(request, looked.error)
    else:
        reply(request, 200, routing.document_of(looked.ok.body), [JSON])


@inlineCallbacks
def retire(agent, request, name, ask):
    """Answer how far the retirement of a replica is; ask: begins it, or only reads it."""
    result = yield ask(agent, name, remaining_ms(agent, allowed(agent).contact_ms))
    if result.is_error():
        unavailable(request, result.error)
        return
    state = getattr(result.ok, "state", result.ok)
    reply(request, RETIRE_STATUS.get(state, 404), json.encode({"state": state}), [JSON])


def call_for(agent, request):
    """The call that a method and a path name, or None."""
    if not request.path.startswith(ROOT):
        return None
    what, _, node = request.path[len(ROOT) :].decode("latin-1").partition("/")
    calls = {
        ("POST", "Configuration.Replace", False): lambda: change_routing(agent, request, "replace"),
        ("POST", "Configuration.Modify", False): lambda: change_routing(agent, request, "modify"),
        ("GET", "Configuration.Query", False): lambda: query(agent, request),
        ("POST", "Retire.Initiate", True): lambda: retire(agent, request, node, control_client().retire),
        ("GET", "Retire.Query", True): lambda: retire(agent, request, node, control_client().read_retirement),
    }
    return calls.get((request.method.decode("latin-1"), what, bool(node)))


def handler(agent):
    """handle(request) for every control call."""

    def handle(request):
        call = call_for(agent, request)
        if call is None:
            reply(request, 404)
            return

        def broken(failure):
            log_event(
                "Internal",
                type=failure.type.__name__,
                text=failure.getErrorMessage()[:200],
                at=failure.getTraceback(detail="brief")[-400:],
            )
            if not request.startedWriting:
                reply(request, 500)

        call().addErrback(broken)

    return handle


def server(agent):
    """The server of the control address."""
    return Server(agent.reactor, handler(agent), lambda: BOUNDS, MOST_CHANNELS)
