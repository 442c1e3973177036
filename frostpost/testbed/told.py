"""What callers asked and were told, read back from their notes."""

from msgspec import Struct

from .templates import TEMPLATES, TENANTS

NOT_RUN = {
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
    """A rule that was broken, and how."""

    never: str
    text: str


class Ask(Struct):
    """One request of a caller with its response."""

    request: str
    tenant: str
    route: str
    kind: str
    document: dict
    asked_ms: int
    answered_ms: int = 0
    status: int = 0
    whole: bool = False
    lines: list = []


def route_of(tenant, route):
    """Return a route's settings with all parameters filled in."""
    template, tenant = TEMPLATES[TENANTS[tenant]["template"]], TENANTS[tenant]
    given = tenant.get("parameters", {})

    def value(said):
        name = said.get("$param") if isinstance(said, dict) else None
        return given.get(name, template["parameters"][name]["default"]) if name else said

    return {k: value(v) for k, v in template["routes"][route].items()}


def asks(notes):
    """Return the requests by id."""
    found = {}
    for note in notes:
        if note["kind"] == "asked":
            _, _, _, tenant, _, route, kind = note["path"].split("/")
            found[note["request"]] = Ask(note["request"], tenant, route, kind, note["document"], note["at_ms"])
        elif note["kind"] == "answered":
            ask = found[note["request"]]
            ask.answered_ms, ask.status = note["at_ms"], note["status"]
            ask.whole, ask.lines = note["whole"], note["lines"]
    return found


def error_of(ask):
    """Return the type of the error in a response, or None."""
    for line in ask.lines:
        if isinstance(line, dict) and "error" in line:
            return line["error"]["type"]
    return None


def ended(ask):
    """Tell whether a turn was answered whole."""
    return ask.status == 200 and bool(ask.lines) and bool(ask.lines[-1].get("end"))
