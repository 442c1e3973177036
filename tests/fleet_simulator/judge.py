"""Invariants of a simulated day, checked against the traffic recorded on its sockets."""

from collections import defaultdict
from itertools import pairwise

from .http import events_of
from .notes import Violation
from .routes import MOST_ATTEMPTS
from .runners import EVENT_TOKENS

UNEXECUTED_STATUSES = (408, 421, 429, 503)
RESUMABLE_PREFIX = "/free/"
STABLE_WHILE_ACTIVE = ("after ack", "core cut", "cut", "freeze", "kill", "wipe")


def prefix_of(uri):
    return uri[: uri.find("/", 1) + 1]


def tenant_of(tries, name):
    """Return the tenant of the named request, empty if it has none."""
    request = tries.get(name)
    return "" if request is None else request.tenant


def is_repeatable(request):
    return request.kind == "safe" or request.uri.startswith(RESUMABLE_PREFIX)


def disrupts(world, fault, edge, since_ms, at_ms):
    """Whether a fault disrupts an edge's contact with the core, directly or through a reconfiguration.

    A loss within the tolerance reconfigures the core when it begins and when it ends; in between the remaining
    daemons continue.
    """
    if fault.from_ms > at_ms or fault.until_ms < since_ms or not fault.names:
        return False
    daemons = [world.daemons[name] for name in fault.names if name in world.daemons]
    if any(d.host.address == edge for d in daemons):
        return True
    if all(d.role == "edge" for d in daemons):
        return False
    begins, ends = fault.from_ms >= since_ms, fault.until_ms <= at_ms
    return begins or ends or fault.kind not in STABLE_WHILE_ACTIVE


def in_contact(world, edge, at_ms):
    """Whether neither the edge nor the core was disrupted during the contact time before `at_ms`."""
    since_ms = at_ms - world.notes.sheet["contact"]
    return not any(disrupts(world, fault, edge, since_ms, at_ms) for fault in world.notes.troubles)


def duplicate_executions(world, runs_of, tries):
    """TWICE: a request that must not be repeated, or an operation key within its window, ran more than once."""
    window_ms = world.notes.sheet["window"]
    for name, runs in runs_of.items():
        request = tries.get(name)
        if request is not None and not is_repeatable(request) and len(runs) > 1:
            yield Violation(
                "TWICE",
                f"{name} {request.uri} was executed more than once: {[(r.runner, round(r.at_ms)) for r in runs]}",
            )
    runs_by_key = defaultdict(list)
    for run in world.notes.runs:
        if run.key:
            runs_by_key[tenant_of(tries, run.try_id), run.key].append(run)
    for (_, key), runs in runs_by_key.items():
        for first, second in pairwise(runs):
            original = tries.get(first.try_id)
            if original is not None and first.try_id != second.try_id and second.at_ms < original.sent_ms + window_ms:
                yield Violation(
                    "TWICE",
                    f"key {key} was executed at {round(first.at_ms)} ({first.try_id}) and {round(second.at_ms)} "
                    f"({second.try_id})",
                )


def executions_after_refusal(runs_of, tries):
    """REFUSED: a request that was answered as not executed reached a runner."""
    for name, request in tries.items():
        refused = request.status in UNEXECUTED_STATUSES or request.status == 402 and request.uri.startswith("/chat/")
        if refused and not is_repeatable(request) and runs_of.get(name):
            run = runs_of[name][0]
            yield Violation(
                "REFUSED",
                f"{name} {request.uri} got {request.status} {request.got[:60]!r} at "
                f"{round(request.ended_ms)} and was executed at {round(run.at_ms)}",
            )


def stream_events(request, runs):
    """ORDER and MIXED: the events of one stream are in sequence, complete and from one run."""
    pairs, remainder = events_of(request.got)
    expected, sources = int(request.last_event or 0), []
    for event_id, data in pairs:
        expected += 1
        if event_id != str(expected):
            yield Violation("ORDER", f"{request.try_id} got event {event_id} where {expected} was expected")
            return
        run = next(
            (r for r in runs if r.first <= expected < r.first + len(r.pieces) and r.pieces[expected - r.first] == data),
            None,
        )
        if run is None:
            yield Violation("MIXED", f"{request.try_id} got {data!r}, which none of its runs produced")
            return
        if run not in sources:
            sources.append(run)
    if len(sources) > 1 and not request.uri.startswith(RESUMABLE_PREFIX):
        yield Violation("ORDER", f"{request.try_id} combines events of more than one run")
    if request.whole and (remainder or not runs or expected != runs[0].total):
        yield Violation(
            "ORDER", f"{request.try_id} completed after {expected} events, expected {runs and runs[0].total}"
        )


def mismatched_responses(world, runs_of, tries):
    """MIXED: a response that no run of its request produced."""
    runs_by_seal = {run.seal: run for run in world.notes.runs}
    for request in tries.values():
        if not request.status:
            continue
        runs = runs_of.get(request.try_id, [])
        if request.status == 200 and not request.seal:
            yield Violation("MIXED", f"{request.try_id} got status 200 without a seal")
        if not request.seal:
            continue
        run = runs_by_seal.get(request.seal)
        matches = run is not None and (
            run.try_id == request.try_id
            or request.key
            and run.key == request.key
            and tenant_of(tries, run.try_id) == request.tenant
        )
        if not matches or run.status != request.status:
            yield Violation(
                "MIXED",
                f"{request.try_id} {request.uri} got {request.status}, "
                f"its seal belongs to {run and run.try_id} {run and run.status}",
            )
        elif request.kind == "streaming" and request.status == 200:
            yield from stream_events(request, runs)
        elif request.whole and (request.got != run.answer or not run.done) and request.kind != "streaming":
            yield Violation(
                "MIXED", f"{request.try_id} got {request.got!r}, its runner sent {run.answer!r}, done: {run.done}"
            )
    for stray in world.notes.strays:
        yield Violation("MIXED", f"unexpected response {stray}")


def budget_overruns(tries):
    """BUDGET: a program received more tokens than its budget and one request allow."""
    spent, limits = defaultdict(int), {}
    for request in tries.values():
        if request.budget is not None:
            spent[request.tenant, request.program] += (
                len(events_of(request.got)[0]) * EVENT_TOKENS if request.status == 200 else 0
            )
            limits[request.tenant, request.program] = request.budget + request.most
    for (tenant, program), tokens in spent.items():
        if tokens > limits[tenant, program]:
            yield Violation("BUDGET", f"{program} received {tokens} tokens, limit {limits[tenant, program]}")


def session_transcript(tries, name):
    """The requests and events of a session up to the named request, or None if one of them is missing."""
    turns = []
    while name:
        request = tries.get(name)
        if request is None:
            return None
        turns.append(request.body + b"".join(piece + b"\n" for _, piece in events_of(request.got)[0]))
        name = request.previous
    return b"".join(reversed(turns))


def unsolicited_executions(world, tries):
    """UNASKED: a run whose request differs from what the client sent."""
    for run in world.notes.runs:
        request = tries.get(run.try_id)
        if request is None or (run.method, run.uri) != (request.method, request.uri):
            yield Violation("UNASKED", f"{run.try_id} {run.uri} at {run.runner}")
            continue
        if request.previous and tenant_of(tries, request.previous) != request.tenant:
            yield Violation("UNASKED", f"{run.try_id} of {request.tenant} continued {request.previous}")
            continue
        history = session_transcript(tries, request.previous)
        if history is None or run.body != history + request.body or run.previous != request.previous:
            yield Violation(
                "UNASKED",
                f"{run.try_id} got a body of {len(run.body)} bytes, {history and len(history)} + "
                f"{len(request.body)} were expected",
            )


def lost_sessions(world, tries):
    """LOST and DENIED: a session was not found within its retention period, or without a previous turn."""
    retention_ms = world.notes.sheet["keep"]
    for request in tries.values():
        if request.status not in (404, 410) or not request.uri.startswith("/chat/"):
            continue
        predecessor = tries.get(request.previous)
        if predecessor is not None and predecessor.tenant != request.tenant:
            continue
        if predecessor is None:
            yield Violation("DENIED", f"{request.try_id} {request.uri} got {request.status} {request.got[:80]!r}")
        elif request.ended_ms - predecessor.ended_ms < retention_ms:
            yield Violation(
                "LOST",
                f"{request.try_id} got {request.status} at {round(request.ended_ms)} for {predecessor.try_id}, "
                f"completed at {round(predecessor.ended_ms)}, by {request.edge}",
            )


def interrupted_requests(world, runs_of, tries):
    """LOST: a request ended without a complete response while only planned work was under way."""
    for request in tries.values():
        if (
            request.whole
            or request.written_ms < 0
            or request.why in ("", "gave up")
            or request.got
            and request.status != 200
        ):
            continue
        if any(edge == request.edge and at_ms > request.dialled_ms for edge, at_ms in world.starts):
            continue
        since_ms, runs = request.sent_ms - world.notes.sheet["contact"], runs_of.get(request.try_id, [])
        undisturbed = not any(
            fault.from_ms <= request.ended_ms and fault.until_ms >= since_ms and fault.kind not in ("roll", "add")
            for fault in [*world.notes.troubles, *world.notes.list_troubles]
        )
        if undisturbed and not any(r.broke for r in runs) and request.ended_ms < request.sent_ms + request.left_ms:
            yield Violation(
                "LOST",
                f"{request.try_id} {request.uri} was interrupted at {round(request.ended_ms)} by {request.edge}: "
                f"{request.why}, {len(request.got)} bytes, runs {[(r.runner, r.done) for r in runs]}",
            )


def dispatches_after_drain(world, tries):
    """DRAIN: a request reached a runner after the drain period that follows its listing as unavailable."""
    unavailable_since, drain_ms = {}, world.notes.sheet["drain"]
    for listed_ms, runner, state in world.notes.shown:
        if state != "available":
            unavailable_since.setdefault(runner, listed_ms)
    for run in world.notes.runs:
        listed_ms, request = unavailable_since.get(run.runner), tries.get(run.try_id)
        if listed_ms is None or request is None or run.at_ms <= listed_ms + drain_ms:
            continue
        list_unavailable = any(
            fault.from_ms <= run.at_ms and fault.until_ms >= listed_ms for fault in world.notes.list_troubles
        )
        if not list_unavailable and in_contact(world, request.edge, run.at_ms):
            yield Violation(
                "DRAIN",
                f"{run.try_id} reached {run.runner} {round(run.at_ms - listed_ms)} ms after its drain was listed",
            )


def excess_attempts(runs_of, tries):
    """BUDGET: a request was executed by more runners than its route allows."""
    for name, runs in runs_of.items():
        runners = {run.runner for run in runs}
        if name in tries and len(runners) > MOST_ATTEMPTS:
            yield Violation("BUDGET", f"{name} {tries[name].uri} was executed by {sorted(runners)}")
