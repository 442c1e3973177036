"""Check a run of a fleet by the event logs of its callers and runners alone."""

from collections import defaultdict
from itertools import pairwise

from .caller_requests import NOT_RUN_ERRORS, Breach, error_type, is_complete_turn, read_requests, resolve_route
from .config_checks import check_config_changes, confirmed_drains
from .history_checks import check_histories


def check_executions(requests, runs):
    """Yield breaches: requests that ran twice, without a caller, after a refusal, or on a wrong runner."""
    for request_id, executions in runs.items():
        request = requests.get(request_id)
        if request is None:
            yield Breach("stranger", f"{request_id} ran without a request")
            continue
        route = resolve_route(request.tenant, request.route)
        if route.get("repeat", "once") != "free" and len(executions) > 1:
            yield Breach("twice", f"{request_id} ran {len(executions)} times")
        if executions and request.status and error_type(request) in NOT_RUN_ERRORS:
            yield Breach("ran_after_refusal", f"{request_id} was refused with {error_type(request)} but ran")
        for event in executions:
            if event["pool"] not in route["pools"]:
                yield Breach("not_allowed", f"{request_id} reached {event['runner']}")


def check_idempotency_keys(requests, runs):
    """Yield breaches: idempotency keys that ran twice within their window."""
    executions = defaultdict(list)
    for request_id, events in runs.items():
        request = requests.get(request_id)
        if request and "key" in request.document:
            executions[(request.tenant, request.route, request.document["key"])] += [event["at_ms"] for event in events]
    for key, times_ms in executions.items():
        times_ms.sort()
        if any(b - a < 60000 for a, b in pairwise(times_ms)):
            yield Breach("key_twice", f"{key} ran at {times_ms}")


def check_lookups(requests):
    """Yield breaches: lookups that received the answer to another request."""
    for request in requests.values():
        if request.kind != "lookups" or request.status != 200:
            continue
        if not request.complete or request.lines[0].get("result", {}).get("echo") != request.document["input"]:
            yield Breach("wrong_answer", f"{request.request_id} received {str(request.lines)[:200]}")


def check_streams(requests, by_run):
    """Yield breaches: streams that skip or repeat pieces, mix runs or end early."""
    for request in requests.values():
        if request.kind != "turns" or request.status != 200:
            continue
        pieces = [line for line in request.lines if "piece" in line]
        owners = {piece["text"].split(":")[0] for piece in pieces}
        if [piece["piece"] for piece in pieces] != list(range(1, len(pieces) + 1)):
            yield Breach("stream", f"{request.request_id} skips or repeats a piece")
        if len(owners) > 1 or any(piece["text"] != f"{o}:{piece['piece']} " for o in owners for piece in pieces):
            yield Breach("stream", f"{request.request_id} mixes output of {owners}")
        for owner in owners:
            if by_run.get(owner, {}).get("request") != request.request_id:
                yield Breach("someone_elses", f"{request.request_id} received output of {owner}")
        if is_complete_turn(request) and any(
            len(pieces) != by_run[o]["total"] for o in owners if "total" in by_run.get(o, {})
        ):
            yield Breach("partial_as_whole", f"{request.request_id} ends before its run did")
        if is_complete_turn(request) and (request.lines[-1]["pieces"] != len(pieces) or not request.complete):
            yield Breach("partial_as_whole", f"{request.request_id} ends with a piece missing")


def check_budgets(requests, runs):
    """Yield breaches: programs that received more output than their budget."""
    spent, max_units = defaultdict(int), {}
    for request in requests.values():
        if request.kind == "turns" and request.status == 200:
            route = resolve_route(request.tenant, request.route)
            key = (request.tenant, request.document["program"])
            spent[key] += sum(line.get("units", 0) for line in request.lines if "piece" in line)
            turn_units = max(
                [route["max_output"], *(event.get("max_output") or 0 for event in runs[request.request_id])]
            )
            max_units[key] = route["budget"] + turn_units
    for key, units in spent.items():
        if units > max_units[key]:
            yield Breach("budget", f"{key} exceeded its budget: units received {units}")


def check_drained_runners(runner_events, drains, grace_ms=3000):
    """Yield breaches: work sent to a runner later than `grace_ms` after it was drained."""
    drained_ms = dict(drains)
    for event in runner_events:
        if event["kind"] == "changed" and event["leaving"]:
            drained_ms.setdefault(event["runner"], event["at_ms"])
    for event in runner_events:
        since_ms = drained_ms.get(event.get("runner"))
        if (
            event["kind"] == "ran"
            and since_ms is not None
            and event["at_ms"] - event.get("held_ms", 0) > since_ms + grace_ms
        ):
            yield Breach("leaving", f"{event['runner']} got work {event['at_ms'] - since_ms} ms after its drain")


def check_interrupted_answers(requests, runs):
    """Yield breaches: answers that were interrupted although all disturbances were planned."""
    for request in requests.values():
        if request.status == 200 and not request.complete:
            yield Breach("dropped", f"{request.request_id} was cut off during its answer")
        if request.status == 0 and request.answered_ms and runs.get(request.request_id):
            yield Breach("dropped", f"{request.request_id} ran but its connection was cut: {error_type(request)}")


def index_runs(runner_events):
    """Return the runs by request id, and each run by its own id."""
    runs, by_run = defaultdict(list), {}
    for event in runner_events:
        if event["kind"] == "ran":
            runs[event["request"]].append(event)
            by_run[event["run"]] = event
    return runs, by_run


def judge(caller_events, runner_events, drains=(), planned=False):
    """Return all breaches; with `planned`, an interrupted answer is one too."""
    requests = read_requests(caller_events)
    runs, by_run = index_runs(runner_events)
    return [
        *check_executions(requests, runs),
        *check_idempotency_keys(requests, runs),
        *check_lookups(requests),
        *check_streams(requests, by_run),
        *check_histories(caller_events, requests, runs),
        *check_budgets(requests, runs),
        *check_drained_runners(runner_events, [*drains, *confirmed_drains(caller_events)]),
        *check_config_changes(caller_events, by_run),
        *(check_interrupted_answers(requests, runs) if planned else ()),
    ]


def summary(caller_events):
    """Return the counts of results, and latency percentiles in milliseconds."""
    requests, counts = read_requests(caller_events), defaultdict(int)
    latencies_ms = sorted(a.answered_ms - a.sent_ms for a in requests.values() if a.status == 200)
    for request in requests.values():
        counts[error_type(request) or ("served" if request.status == 200 else f"status {request.status}")] += 1
    percentiles = (
        {
            percent: latencies_ms[min(len(latencies_ms) - 1, int(len(latencies_ms) * percent / 100))]
            for percent in (50, 95, 99)
        }
        if latencies_ms
        else {}
    )
    return {
        "asked": len(requests),
        "results": dict(counts),
        "took_ms": percentiles,
        "most_ms": latencies_ms[-1] if latencies_ms else None,
    }
