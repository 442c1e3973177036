"""The requests of the stand-in callers with their responses, read from the callers' event log."""

from msgspec import Struct

from .templates import TEMPLATES, TENANTS

NOT_RUN_ERRORS = {
    "Overfilled",
    "NoPrimary",
    "Undecided",
    "Leaving",
    "Crowded",
    "RunnersFull",
    "DeadlineExceeded",
    "BadBody",
    "TooLong",
    "NoRoute",
    "BudgetGone",
    "TurnRunning",
    "ConfigChanging",
    "KeyMismatch",
}


class Breach(Struct, frozen=True):
    """A broken rule and how it was broken; `never` names the rule."""

    never: str
    text: str


class CallerRequest(Struct):
    """A caller's request with its response; `lines` are the JSON documents of the body."""

    request_id: str
    tenant: str
    route: str
    kind: str
    document: dict
    sent_ms: int
    answered_ms: int = 0
    status: int = 0
    complete: bool = False
    lines: list = []


def resolve_route(tenant, route):
    """Return a route's settings with the tenant's parameters substituted."""
    template, tenant = TEMPLATES[TENANTS[tenant]["template"]], TENANTS[tenant]
    parameters = tenant.get("parameters", {})

    def value(setting):
        name = setting.get("$param") if isinstance(setting, dict) else None
        return parameters.get(name, template["parameters"][name]["default"]) if name else setting

    return {k: value(v) for k, v in template["routes"][route].items()}


def read_requests(events):
    """Return the requests of an event log by request id."""
    requests = {}
    for event in events:
        if event["kind"] == "asked":
            _, _, _, tenant, _, route, kind = event["path"].split("/")
            requests[event["request"]] = CallerRequest(
                event["request"], tenant, route, kind, event["document"], event["at_ms"]
            )
        elif event["kind"] == "answered":
            request = requests[event["request"]]
            request.answered_ms, request.status = event["at_ms"], event["status"]
            request.complete, request.lines = event["whole"], event["lines"]
    return requests


def error_type(request):
    """Return the type of the error in a response, or None."""
    for line in request.lines:
        if isinstance(line, dict) and "error" in line:
            return line["error"]["type"]
    return None


def is_complete_turn(request):
    """Tell whether a turn was answered completely."""
    return request.status == 200 and bool(request.lines) and bool(request.lines[-1].get("end"))
