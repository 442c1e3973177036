"""Control API for the platform's operator: replaces and reads the routing configuration, and retires storage daemons.

Responses are linearizable: apart from syntax errors (400) and unknown paths (404), each is based on the result of an
operation that was ordered after the request arrived, never on this daemon's copy of the state. Without a result in time
the response is 503, sent before the caller's own timeout. The change may have been applied by then; sending it again is
safe, as an applied change is recognised by its digest.
"""

from importlib import import_module

from expression import Error, Ok
from msgspec import Struct, json
from twisted.internet.defer import inlineCallbacks

from frostpost.cluster.agent_context import now_ms
from frostpost.daemon.structured_log import log_event
from frostpost.program_ledger.messages import AdoptedCredentials
from frostpost.proxy.failures import Unavailable
from frostpost.proxy.models import ClientBounds

from . import document_changes, header_names, routing
from .call_deadlines import call_deadlines, remaining_ms
from .control_errors import MAX_DOCUMENT_BYTES, DocumentTooLarge, ErrorResponse, VersionConflict
from .document_validation import MAX_ISSUE
from .server import Server, reply
from .strict_json import RoutingInvalid, parse_json

RETRY_MS, MAX_CONNECTIONS = 100, 128
# Bodies up to this size are read, so that the response to one over MAX_DOCUMENT_BYTES can tell the limit.
CLIENT_BOUNDS = ClientBounds(body_bytes=2 * MAX_DOCUMENT_BYTES)
JSON_HEADER = (b"Content-Type", b"application/json")
PATH_PREFIX = b"/frostpost/"
RETIREMENT_STATUS = {"in_service": 200, "completed": 200, "unknown": 404, "few": 409}


class BuiltChange(Struct, frozen=True):
    """The body to store for a change, and the credentials that it gives to tenants for the first time."""

    body: bytes
    adopted: tuple[AdoptedCredentials, ...]


class RoutingChange(Struct):
    """One requested change.

    build(bytes of the current document) returns Result[(document, Routing), RoutingInvalid].
    """

    issue: int
    base: int
    digest: bytes
    build: object


def control_client():
    """Return the module `cluster.control_client`, imported on first use, as edge daemons never need it."""
    return import_module("frostpost.cluster.control_client")


def reply_error(request, status, error):
    """Send an error as JSON with the given status."""
    reply(request, status, json.encode(error), [JSON_HEADER])


def reply_unavailable(request, error):
    """Send an error as JSON with status 503 and a Retry-After header."""
    retry_ms = getattr(error, "retry_ms", RETRY_MS)
    reply(request, 503, json.encode(error), [JSON_HEADER, (b"Retry-After", b"%g" % (retry_ms / 1000))])


def base_version(request):
    """Return the version that a change is based on, or None if the header is missing or not a number."""
    value = (request.getHeader(header_names.BASE_REVISION) or b"").strip()
    return int(value) if value.isascii() and value.isdigit() and len(value) <= len(str(MAX_ISSUE)) else None


def parse_routing_change(request, kind):
    """Parse a request without regard to the current version. Returns Result[RoutingChange, RoutingInvalid]."""
    base = base_version(request)
    if base is None:
        return Error(RoutingInvalid("X-Base-Revision", "is missing or no number"))
    if kind == "replace":
        return routing.parse_document(request.body).map(
            lambda parsed: RoutingChange(
                parsed[0]["issue"], base, routing.request_digest(kind, parsed[0]), lambda _: Ok(parsed)
            )
        )
    return document_changes.parse_change(request.body).map(
        lambda change: RoutingChange(
            change["issue"],
            base,
            routing.request_digest(f"{kind} {base}", change),
            lambda current: parse_json(current).bind(
                lambda document: routing.validate(document_changes.apply_change(document, change))
            ),
        )
    )


def build_change(change, current):
    """Build what to submit for a change that has not been applied.

    `current` is the RoutingState that was read for it. Returns Result[BuiltChange, ErrorResponse].
    """
    if change.base != current.version:
        return Error(ErrorResponse(412, VersionConflict(current.version)))
    if change.issue <= current.version:
        return Error(ErrorResponse(400, RoutingInvalid("issue", "is not above the current one")))
    built = change.build(routing.document_from_body(current.body))
    if built.is_error():
        return Error(ErrorResponse(400, built.error))
    body = routing.encode_body(built.ok[0], current.body)
    if len(body) > MAX_DOCUMENT_BYTES:
        return Error(ErrorResponse(413, DocumentTooLarge(len(body))))
    return Ok(BuiltChange(body, routing.adopted_credentials(built.ok[0], current.body)))


@inlineCallbacks
def submit_change(agent, change, deadlines):
    """Apply a change, or find that it was applied before. Returns Result[version, ErrorResponse]."""
    current = yield control_client().read_routing(
        agent, remaining_ms(agent, deadlines.operation_ms), change.issue, change.digest
    )
    if current.is_error():
        return Error(ErrorResponse(503, current.error))
    current = current.ok
    if current.uncertain:
        return Error(ErrorResponse(503, Unavailable(RETRY_MS, "may have been taken too long ago to be known")))
    if current.taken:
        result = yield control_client().wait_until_honoured(
            agent, change.issue, remaining_ms(agent, deadlines.response_ms)
        )
        return result.map_error(lambda error: ErrorResponse(503, error))
    built = build_change(change, current)
    if built.is_error():
        return built
    result = yield control_client().set_routing(
        agent,
        change.base,
        change.issue,
        built.ok.body,
        change.digest,
        built.ok.adopted,
        remaining_ms(agent, deadlines.response_ms),
    )
    return result.map_error(error_response)


def error_response(error):
    """Convert the ledger's rejection of a change into an ErrorResponse."""
    if isinstance(error, control_client().RoutingConflict):
        return ErrorResponse(412, VersionConflict(error.version))
    return ErrorResponse(503, error)


@inlineCallbacks
def handle_change(agent, request, kind):
    """Handle a change of the configuration; `kind` is "replace" or "modify"."""
    started_ms = now_ms(agent)
    if len(request.body) > MAX_DOCUMENT_BYTES:
        reply_error(request, 413, DocumentTooLarge(len(request.body)))
        return
    change = parse_routing_change(request, kind)
    if change.is_error():
        reply_error(request, 400, change.error)
        return
    deadlines = call_deadlines(agent, len(request.body), started_ms)
    result = yield submit_change(agent, change.ok, deadlines)
    if result.is_ok():
        reply(request, 200, json.encode({"issue": change.ok.issue}), [JSON_HEADER])
    elif result.error.status == 503:
        reply_unavailable(request, result.error.error)
    else:
        reply_error(request, result.error.status, result.error.error)
    log_change(kind, change.ok, 200 if result.is_ok() else result.error.status, now_ms(agent) - started_ms)


def log_change(kind, change, status, took_ms):
    """Log the outcome of a change; its content is not logged, as it may hold credentials."""
    log_event(
        "configuration_change", operation=kind, issue=change.issue, base=change.base, status=status, took_ms=took_ms
    )


@inlineCallbacks
def handle_query(agent, request):
    """Send the current configuration."""
    result = yield control_client().read_routing(agent, remaining_ms(agent, call_deadlines(agent).operation_ms))
    if result.is_error():
        reply_unavailable(request, result.error)
    else:
        reply(request, 200, routing.document_from_body(result.ok.body), [JSON_HEADER])


@inlineCallbacks
def handle_retire(agent, request, name, operation):
    """Send the state of a replica's retirement; `operation` starts the retirement or only reads its state."""
    result = yield operation(agent, name, remaining_ms(agent, call_deadlines(agent).operation_ms))
    if result.is_error():
        reply_unavailable(request, result.error)
        return
    state = getattr(result.ok, "state", result.ok)
    reply(request, RETIREMENT_STATUS.get(state, 404), json.encode({"state": state}), [JSON_HEADER])


def find_operation(agent, request):
    """Return the function that handles the method and path of a request, or None."""
    if not request.path.startswith(PATH_PREFIX):
        return None
    operation_name, _, node = request.path[len(PATH_PREFIX) :].decode("latin-1").partition("/")
    operations = {
        ("POST", "Configuration.Replace", False): lambda: handle_change(agent, request, "replace"),
        ("POST", "Configuration.Modify", False): lambda: handle_change(agent, request, "modify"),
        ("GET", "Configuration.Query", False): lambda: handle_query(agent, request),
        ("POST", "Retire.Initiate", True): lambda: handle_retire(agent, request, node, control_client().retire),
        ("GET", "Retire.Query", True): lambda: handle_retire(agent, request, node, control_client().read_retirement),
    }
    return operations.get((request.method.decode("latin-1"), operation_name, bool(node)))


def make_handler(agent):
    """Return handle(request) for control calls."""

    def handle(request):
        operation = find_operation(agent, request)
        if operation is None:
            reply(request, 404)
            return

        def report_failure(failure):
            log_event(
                "Internal",
                type=failure.type.__name__,
                text=failure.getErrorMessage()[:200],
                at=failure.getTraceback(detail="brief")[-400:],
            )
            if not request.startedWriting:
                reply(request, 500)

        operation().addErrback(report_failure)

    return handle


def make_server(agent):
    """Create the server of the control address."""
    return Server(agent.reactor, make_handler(agent), lambda: CLIENT_BOUNDS, MAX_CONNECTIONS)
