from test_stories import advance, started_fleet

from frostpost.simulator import fleet_calls
from frostpost.testbed.caller_requests import error_type, read_requests, resolve_route
from frostpost.testbed.judge import judge


def shares(found):
    asked, away = {}, {}
    for ask in found:
        urgency = resolve_route(ask.tenant, ask.route).get("urgency", "normal")
        asked[urgency] = asked.get(urgency, 0) + 1
        away[urgency] = away.get(urgency, 0) + (error_type(ask) == "Crowded")
    return {u: away[u] / n for u, n in asked.items()}


def test_a_crowd_is_shed_by_urgency_at_once_and_leaves_no_trace():
    fleet = started_fleet(doors={"in_flight": 10})
    over = fleet_calls.start_callers(fleet, 2.5, 2.5)
    advance(fleet, 2500)
    peak = list(read_requests(fleet.notes.lines).values())
    advance(fleet, 12000)
    assert over and fleet.crowd.active_programs == 0
    answers = {n["request"]: n for n in fleet.notes.lines if n["kind"] == "answered"}
    found = read_requests(fleet.notes.lines)
    crowded = [a for a in found.values() if error_type(a) == "Crowded"]
    assert len(crowded) > 50
    assert all(answers[a.request_id]["retry_after"] == "1" and answers[a.request_id]["took_ms"] < 20 for a in crowded)
    share = shares([a for a in found.values() if a.request_id in {p.request_id for p in peak}])
    assert share["urgent"] < share["normal"] < share["batch"]
    urgent = [
        a for a in found.values() if a.status == 200 and resolve_route(a.tenant, a.route).get("urgency") == "urgent"
    ]
    assert urgent and all(a.answered_ms - a.sent_ms <= resolve_route(a.tenant, a.route)["deadline_ms"] for a in urgent)
    assert judge(fleet.notes.lines, fleet.runner_notes.lines, planned=True) == []
    ledger = fleet.daemons["s1"].ctx.core.ledger
    assert not ledger.reservations and not ledger.running
    seen = len(fleet.notes.lines)
    fleet_calls.start_callers(fleet, 1.0, 0.2, tag="z")
    advance(fleet, 5000)
    after = read_requests(fleet.notes.lines[seen:])
    assert sum(a.status == 200 for a in after.values()) >= 0.9 * len(after) > 0
