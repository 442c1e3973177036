"""Events of the whole-path simulation that operators and runners cause."""

from msgspec import json

from frostpost.testbed.runner import DISCONNECT_MODES
from frostpost.testbed.templates import TEMPLATES, TENANTS

from . import fleet as fleets
from . import fleet_calls
from .fleet import schedule
from .fleet_faults import publish_runners

MODES = (*DISCONNECT_MODES, "stall", "bare503", "endless")


def any_runner(fleet, random):
    """Return the host and the state of a random runner."""
    address = random.choice(sorted(fleet.runners))
    return fleet.net.hosts[address], fleet.runners[address]


def misbehave(fleet, random, mode=None):
    """Make a runner misbehave for a while."""
    _, runner = any_runner(fleet, random)
    runner.mode = mode or random.choice(MODES)
    schedule(fleet, random.uniform(200, 1500), reset_mode, runner)


def reset_mode(runner):
    """End a runner's misbehaviour."""
    runner.mode = "well"


def replace_runner(fleet, random, careless=None):
    """Replace a runner by another one at the same address, possibly of another pool."""
    host, old = any_runner(fleet, random)
    other_pool_runners = [runner for runner in fleet.runners.values() if runner.pool != old.pool]
    is_last = not any(r is not old and r.pool == old.pool and not r.away for r in fleet.runners.values())
    host.terminate()
    host.boot()
    pool = random.choice(other_pool_runners).pool if random.random() < 0.5 and not is_last else old.pool
    careless = random.random() < 0.5 if careless is None else careless
    name = f"{pool}-{len(fleet.runner_notes.lines)}"
    fleets.start_runner(fleet, host, name, pool, old.room, careless=careless and pool != old.pool)
    schedule(fleet, random.uniform(0, 1500), publish_runners, fleet)


def shut_down_runner(fleet, random):
    """Make a runner report that it is shutting down; replace it after 5 s."""
    _, runner = any_runner(fleet, random)
    if sum(r.pool == runner.pool and not r.away for r in fleet.runners.values()) < 2:
        return
    runner.leaving = runner.away = True
    fleet.runner_notes.record("changed", runner=runner.name, mode=runner.mode, leaving=True)
    schedule(fleet, 5000, start_replacement, fleet, runner)


def start_replacement(fleet, runner):
    """Start a new runner at the address of one that shut down or was drained."""
    row = next((r for r in fleet.listed_runners if r["name"] == runner.name), None)
    if row is not None:
        host = fleet.net.hosts[row["host"]]
        host.terminate()
        host.boot()
        fleets.start_runner(fleet, host, f"{runner.pool}-{len(fleet.runner_notes.lines)}", runner.pool, runner.room)
        publish_runners(fleet)


def drain_runner(fleet, random):
    """Drain a runner through the operators' interface; replace it after 6 s."""
    _, runner = any_runner(fleet, random)
    if sum(r.pool == runner.pool and not r.away for r in fleet.runners.values()) < 2:
        return
    runner.away = True
    send_operator_request(
        fleet, random, f"/v1/runners/{runner.name}/drain", "POST", {"leaving": True}, "drained", runner=runner.name
    )
    schedule(fleet, 6000, start_replacement, fleet, runner)


def send_operator_request(fleet, random, path, method, document, kind, headers=None, daemon=None, **details):
    """Send an operator's request to a daemon and record its response in the notes once it is there."""
    daemon = daemon or random.choice(list(fleet.daemons))
    asked_ms = int(fleets.clock_ms(fleet))
    responses = fleet_calls.call(fleet, daemon, path, method, document, headers)

    def record_response():
        if not responses:
            return schedule(fleet, 5, record_response)
        status, body = responses[0]
        answer = json.decode(body) if body[:1] == b"{" else {}
        fleet.notes.record(
            kind,
            status=status,
            asked_ms=asked_ms,
            version=answer.get("version"),
            error=answer.get("error"),
            door=daemon,
            **details,
        )

    record_response()
    return responses


def next_value(fleet):
    """Return a parameter value that was not used before."""
    fleet.parameter_changes += 1
    return 1000 + fleet.parameter_changes


def change_parameter(fleet, random, concurrently=True):
    """Change a tenant's parameter; if `concurrently`, send two changes at once that require the same version."""
    version = max((n["version"] or 0 for n in fleet.notes.lines if n["kind"] == "configured"), default=1)
    headers = {"if-match": f'"{version}"'} if concurrently else None
    if_match = version if concurrently else None
    for _ in range(2 if concurrently else 1):
        value = next_value(fleet)
        parameters = {**TENANTS["hlidar"]["parameters"], "check_output": value}
        if random.random() < 0.5:
            send_operator_request(
                fleet,
                random,
                "/v1/config/tenants/hlidar",
                "PUT",
                {**TENANTS["hlidar"], "parameters": parameters},
                "configured",
                headers,
                value=value,
                if_match=if_match,
            )
        else:
            send_operator_request(
                fleet,
                random,
                "/v1/config/tenants/hlidar",
                "PATCH",
                {"parameters": {"check_output": value}},
                "configured",
                headers,
                value=value,
                if_match=if_match,
            )


def send_invalid_config(fleet, random):
    """Send an invalid change of a tenant."""
    value = next_value(fleet)
    send_operator_request(
        fleet,
        random,
        "/v1/config/tenants/hlidar",
        "PATCH",
        {"parameters": {"check_output": value, "retention_ms": 1}},
        "configured",
        value=value,
    )


def send_large_template(fleet, random):
    """Send a large template."""
    template = {**TEMPLATES["clerks"], "notes": {"n": "x" * 600000, "at": fleet.parameter_changes}}
    send_operator_request(fleet, random, "/v1/config/templates/clerks", "PUT", template, "enlarged")


def replace_config(fleet, random):
    """Replace all templates and tenants in one change."""
    value, asked_ms = next_value(fleet), fleets.clock_ms(fleet)
    parameters = {**TENANTS["hlidar"]["parameters"], "check_output": value}
    responses = fleet_calls.call(
        fleet,
        random.choice(list(fleet.daemons)),
        "/v1/config",
        "PUT",
        {"templates": TEMPLATES, "tenants": {**TENANTS, "hlidar": {**TENANTS["hlidar"], "parameters": parameters}}},
    )

    def record_response():
        if not responses:
            return schedule(fleet, 5, record_response)
        status, body = responses[0]
        version = json.decode(body).get("versions", {}).get("tenants/hlidar") if status == 200 else None
        fleet.notes.record(
            "configured", status=status, asked_ms=int(asked_ms), version=version, value=value, if_match=None
        )

    record_response()


def change_voters(fleet, random):
    """Add a storage daemon that doesn't vote as a voter, or remove a random one."""
    storage_names = [n for n, d in fleet.daemons.items() if d.settings.role == "storage"]
    current = fleet.daemons[storage_names[0]].ctx.core.ledger.voters
    candidates = [n for n in storage_names if n not in current]
    change = {"add": candidates[0]} if candidates else {"remove": random.choice(storage_names)}
    send_operator_request(fleet, random, "/v1/voters", "POST", change, "voted")


OPERATOR_AND_RUNNER_EVENTS = {
    "whole_set": replace_config,
    "voters": change_voters,
    "misbehave": misbehave,
    "replace": replace_runner,
    "runner_leaves": shut_down_runner,
    "drain": drain_runner,
    "amend": change_parameter,
    "wrong_config": send_invalid_config,
    "large_config": send_large_template,
}
