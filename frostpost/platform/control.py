"""Calls of the platform's operator, translated into the product's own operations."""

from importlib import import_module

from expression import Error, Ok
from msgspec import Struct, json
from twisted.internet.defer import inlineCallbacks

from frostpost.cluster.context import now_ms
from frostpost.daemon.news import say
from frostpost.proxy.words import ClientBounds

from . import names, routing
from .server import Server, reply

WAIT_MS, LEAST_WAIT_MS, RETRY_MS, MOST_CHANNELS = 900, 100, 100, 128
BOUNDS = ClientBounds(body_bytes=64 << 20)
JSON = (b"Content-Type", b"application/json")
ROOT = b"/frostpost/"
RETIRE_STATUS = {"in_service": 200, "completed": 200, "unknown": 404, "few": 409}


class Change(Struct):
    """One change as asked for. make(held document's bytes) -> Result[(document, Routing), RoutingInvalid]."""

    issue: int
    base: int
    digest: str
    make: object


def operating():
    return import_module("frostpost.cluster.operating")


def say_no(request, status, fault):
    reply(request, status, json.encode(fault), [JSON])


def unavailable(request, fault):
    retry_ms = getattr(fault, "retry_ms", RETRY_MS)
    reply(request, 503, json.encode(fault), [JSON, (b"Retry-After", b"%g" % (retry_ms / 1000))])


def base_of(request):
    value = request.getHeader(names.BASE)
    return int(value) if value is not None and value.strip().isdigit() else None


def asked(request, kind):
    """Result[Change, RoutingInvalid] of a request."""
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
            routing.digest(kind, change),
            lambda held: routing.read_json(held).bind(lambda document: routing.check(routing.merge(document, change))),
        )
    )


def wait_ms(leaf, until_ms):
    return max(LEAST_WAIT_MS, until_ms - now_ms(leaf))


@inlineCallbacks
def honour(leaf, request, change, held, until_ms):
    """A change that was taken already is acknowledged once the held version is honoured everywhere."""
    result = yield operating().set_routing(leaf, change.base, held.version, held.body, wait_ms(leaf, until_ms))
    if result.is_ok():
        reply(request, 200, json.encode({"issue": change.issue}), [JSON])
    else:
        unavailable(request, result.error)


@inlineCallbacks
def put(leaf, request, change, until_ms, again=False):
    """Take a change in, or say why not; a change is looked for among those taken before it is judged."""
    looked = yield operating().look_routing(leaf, wait_ms(leaf, until_ms))
    if looked.is_error():
        return unavailable(request, looked.error)
    held = looked.ok
    document, taken = routing.from_body(held.body)
    if (change.issue, change.digest) in taken:
        yield honour(leaf, request, change, held, until_ms)
        return None
    if again or change.base != held.version:
        return say_no(request, 412, {"type": "RoutingMoved", "version": held.version})
    if change.issue <= held.version:
        return say_no(request, 400, routing.RoutingInvalid("issue", "is not above the current one"))
    made = change.make(document)
    if made.is_error():
        return say_no(request, 400, made.error)
    body = routing.to_body(made.ok[0], [*taken, (change.issue, change.digest)])
    result = yield operating().set_routing(leaf, change.base, change.issue, body, wait_ms(leaf, until_ms))
    if result.is_ok():
        return reply(request, 200, json.encode({"issue": change.issue}), [JSON])
    if isinstance(result.error, operating().RoutingMoved):
        yield put(leaf, request, change, until_ms, again=True)
        return None
    return unavailable(request, result.error)


@inlineCallbacks
def change_routing(leaf, request, kind):
    change = asked(request, kind)
    if change.is_error():
        say_no(request, 400, change.error)
        return
    yield put(leaf, request, change.ok, now_ms(leaf) + WAIT_MS + len(request.body) // 1000)


@inlineCallbacks
def query(leaf, request):
    looked = yield operating().look_routing(leaf, WAIT_MS)
    if looked.is_error():
        unavailable(request, looked.error)
    else:
        reply(request, 200, routing.from_body(looked.ok.body)[0], [JSON])


@inlineCallbacks
def retire(leaf, request, name, ask):
    result = yield ask(leaf, name, WAIT_MS)
    if result.is_error():
        unavailable(request, result.error)
        return
    state = getattr(result.ok, "state", result.ok)
    reply(request, RETIRE_STATUS.get(state, 404), json.encode({"state": state}), [JSON])


def call_for(leaf, request):
    """The call that a method and a path name, or None."""
    if not request.path.startswith(ROOT):
        return None
    what, _, node = request.path[len(ROOT) :].decode("latin-1").partition("/")
    calls = {
        ("POST", "Configuration.Replace", False): lambda: change_routing(leaf, request, "replace"),
        ("POST", "Configuration.Modify", False): lambda: change_routing(leaf, request, "modify"),
        ("GET", "Configuration.Query", False): lambda: query(leaf, request),
        ("POST", "Retire.Initiate", True): lambda: retire(leaf, request, node, operating().retire),
        ("GET", "Retire.Query", True): lambda: retire(leaf, request, node, operating().look_retired),
    }
    return calls.get((request.method.decode("latin-1"), what, bool(node)))


def handler(leaf):
    def handle(request):
        call = call_for(leaf, request)
        if call is None:
            reply(request, 404)
            return

        def broken(failure):
            say(
                "Internal",
                type=failure.type.__name__,
                text=failure.getErrorMessage()[:200],
                at=failure.getTraceback(detail="brief")[-400:],
            )
            if not request.startedWriting:
                reply(request, 500)

        call().addErrback(broken)

    return handle


def server(leaf):
    """The server of the control address."""
    return Server(leaf.reactor, handler(leaf), lambda: BOUNDS, MOST_CHANNELS)
