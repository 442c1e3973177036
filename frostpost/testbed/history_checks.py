"""Check the histories of programs that runners and readers received."""

from collections import defaultdict

from msgspec import Struct

from .caller_requests import Breach, is_complete_turn


class ObservedHistory(Struct):
    """A history that a runner or a reader received, and the time span in which it was read."""

    reader: str
    from_ms: int
    to_ms: int
    lines: list


def run_output(event):
    """Return the text that a run outputs."""
    return "".join(f"{event['run']}:{number} " for number in range(1, event["total"] + 1))


def observed_histories(caller_events, requests, runs):
    """Return all observed histories by program."""
    programs = defaultdict(list)
    for request_id, events in runs.items():
        request = requests.get(request_id)
        if request is not None and request.kind == "turns":
            key = (request.tenant, request.document["program"])
            programs[key] += [
                ObservedHistory(request_id, request.sent_ms, event["at_ms"], event["history"]) for event in events
            ]
    for event in caller_events:
        if event["kind"] == "read" and event["status"] in (200, 404):
            _, _, _, tenant, _, program = event["path"].split("/")
            lines = [[x["input"], x["output"]] for x in event["document"].get("history", ())]
            programs[(tenant, program)].append(ObservedHistory("read", event["asked_ms"], event["at_ms"], lines))
    return programs


def answered_turns(requests):
    """Return the turns that callers received completely, by program."""
    answered = defaultdict(list)
    for request in requests.values():
        if request.kind == "turns" and is_complete_turn(request):
            text = "".join(line["text"] for line in request.lines if "piece" in line)
            answered[(request.tenant, request.document["program"])].append(
                (request.answered_ms, [request.document["input"], text])
            )
    return answered


def executed_turns(requests, runs):
    """Return all executed turns by program."""
    lines = defaultdict(list)
    for request_id, events in runs.items():
        request = requests.get(request_id)
        if request is not None and request.kind == "turns":
            lines[(request.tenant, request.document["program"])] += [
                (event["at_ms"], [event["input"], run_output(event)]) for event in events
            ]
    return lines


def check_histories(caller_events, requests, runs):
    """Yield breaches: histories that changed, mix programs, are out of order or lack an answered turn."""
    answered, executed = answered_turns(requests), executed_turns(requests, runs)
    for key, observed in observed_histories(caller_events, requests, runs).items():
        executed_lines = [line for _, line in sorted(executed[key], key=lambda r: r[0])]
        for history in observed:
            positions = [executed_lines.index(line) if line in executed_lines else -1 for line in history.lines]
            if -1 in positions or positions != sorted(set(positions)):
                yield Breach("history", f"{key} {history.reader}: has changed, foreign or out of order turns")
            for at_ms, line in answered[key]:
                if at_ms < history.from_ms and line not in history.lines:
                    yield Breach("history", f"{key} {history.reader}: lacks an answered turn")
            for other in observed:
                if other.to_ms < history.from_ms and history.lines[: len(other.lines)] != other.lines:
                    yield Breach("history", f"{key} {history.reader}: does not continue {other.reader}")
