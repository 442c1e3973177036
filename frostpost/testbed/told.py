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
    "LimitPassed",
    "BadBody",
    "TooLong",
    "NoLane",
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
    lane: str
    kind: str
    document: dict
    asked_ms: int
    answered_ms: int = 0
    status: int = 0
    whole: bool = False
    lines: list = []


def lane_of(tenant, lane):
    """Return a route's settings with all parameters filled in."""
    template, tenant = TEMPLATES[TENANTS[tenant]["template"]], TENANTS[tenant]
    given = tenant.get("parameters", {})

    def value(said):
        name = said.get("$param") if isinstance(said, dict) else None
        return given.get(name, template["parameters"][name]["default"]) if name else said

    return {k: value(v) for k, v in template["lanes"][lane].items()}


def asks(notes):
    """Return the requests by id."""
    found = {}
    for note in notes:
        if note["kind"] == "asked":
            _, _, _, tenant, _, lane, kind = note["path"].split("/")
            found[note["request"]] = Ask(note["request"], tenant, lane, kind, note["document"], note["at_ms"])
        elif note["kind"] == "answered":
            ask = found[note["request"]]
            ask.answered_ms, ask.status = note["at_ms"], note["status"]
            ask.whole, ask.lines = note["whole"], note["lines"]
    return found


def fault_of(ask):
    """Return the type of the error in a response, or None."""
    for line in ask.lines:
        if isinstance(line, dict) and "fault" in line:
            return line["fault"]["type"]
    return None


def ended(ask):
    """Tell whether a turn was answered whole."""
    return ask.status == 200 and bool(ask.lines) and bool(ask.lines[-1].get("end"))
