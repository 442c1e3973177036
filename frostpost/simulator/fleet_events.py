"""Operators' and runners' events of the whole-path simulation."""

from msgspec import json

from frostpost.testbed.runner import DISCONNECT_MODES
from frostpost.testbed.templates import TEMPLATES, TENANTS

from . import fleet as fleets
from . import fleet_calls
from .fleet import later
from .fleet_faults import show

MODES = (*DISCONNECT_MODES, "stall", "bare503", "endless")


def any_runner(fleet, random):
    """Return (host, runner) of a random runner."""
    address = random.choice(sorted(fleet.backs))
    return fleet.net.hosts[address], fleet.backs[address]


def misbehave(fleet, random, mode=None):
    """Make a runner misbehave for a while."""
    _, runner = any_runner(fleet, random)
    runner.mode = mode or random.choice(MODES)
    later(fleet, random.uniform(200, 1500), behave, runner)


def behave(runner):
    """Make a runner behave again."""
    runner.mode = "well"


def replace(fleet, random, careless=None):
    """Replace a runner by another under its address."""
    host, old = any_runner(fleet, random)
    others = [r for r in fleet.backs.values() if r.pool != old.pool]
    last = not any(r is not old and r.pool == old.pool and not r.away for r in fleet.backs.values())
    host.die()
    host.boot()
    pool = random.choice(others).pool if random.random() < 0.5 and not last else old.pool
    careless = random.random() < 0.5 if careless is None else careless
    name = f"{pool}-{len(fleet.runner_notes.lines)}"
    fleets.raise_runner(fleet, host, name, pool, old.room, careless=careless and pool != old.pool)
    later(fleet, random.uniform(0, 1500), show, fleet)


def leave(fleet, random):
    """Let a runner report that it leaves."""
    _, runner = any_runner(fleet, random)
    if sum(r.pool == runner.pool and not r.away for r in fleet.backs.values()) < 2:
        return
    runner.leaving = runner.away = True
    fleet.runner_notes.record("changed", runner=runner.name, mode=runner.mode, leaving=True)
    later(fleet, 5000, stay, fleet, runner)


def stay(fleet, runner):
    """Put a new instance in the place of a runner that left."""
    row = next((r for r in fleet.rows if r["name"] == runner.name), None)
    if row is not None:
        host = fleet.net.hosts[row["host"]]
        host.die()
        host.boot()
        fleets.raise_runner(fleet, host, f"{runner.pool}-{len(fleet.runner_notes.lines)}", runner.pool, runner.room)
        show(fleet)


def drain(fleet, random):
    """Let an operator drain a runner."""
    _, runner = any_runner(fleet, random)
    if sum(r.pool == runner.pool and not r.away for r in fleet.backs.values()) < 2:
        return
    runner.away = True
    operator(
        fleet, random, f"/v1/runners/{runner.name}/drain", "POST", {"leaving": True}, "drained", runner=runner.name
    )
    later(fleet, 6000, stay, fleet, runner)


def operator(fleet, random, path, method, document, kind, headers=None, door=None, **facts):
    """Send an operator's request and record its response."""
    door = door or random.choice(list(fleet.daemons))
    asked_ms = int(fleets.clock_ms(fleet))
    box = fleet_calls.call(fleet, door, path, method, document, headers)

    def look():
        if not box:
            return later(fleet, 5, look)
        status, raw = box[0]
        said = json.decode(raw) if raw[:1] == b"{" else {}
        fleet.notes.record(
            kind,
            status=status,
            asked_ms=asked_ms,
            version=said.get("version"),
            error=said.get("error"),
            door=door,
            **facts,
        )

    look()
    return box


def value_of(fleet):
    """Return a parameter value that was not used before."""
    fleet.amends += 1
    return 1000 + fleet.amends


def amend(fleet, random, two=True):
    """Change a tenant's parameter, twice at once against one version if `two`."""
    version = max((n["version"] or 0 for n in fleet.notes.lines if n["kind"] == "configured"), default=1)
    headers = {"if-match": f'"{version}"'} if two else None
    if_match = version if two else None
    for _ in range(2 if two else 1):
        value = value_of(fleet)
        parameters = {**TENANTS["hlidar"]["parameters"], "check_output": value}
        if random.random() < 0.5:
            operator(
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
            operator(
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


def wrong(fleet, random):
    """Send an invalid change."""
    value = value_of(fleet)
    operator(
        fleet,
        random,
        "/v1/config/tenants/hlidar",
        "PATCH",
        {"parameters": {"check_output": value, "retention_ms": 1}},
        "configured",
        value=value,
    )


def large(fleet, random):
    """Send a large template."""
    template = {**TEMPLATES["clerks"], "notes": {"n": "x" * 600000, "at": fleet.amends}}
    operator(fleet, random, "/v1/config/templates/clerks", "PUT", template, "enlarged")


def whole_set(fleet, random):
    """Send all documents as one change."""
    value, asked_ms = value_of(fleet), fleets.clock_ms(fleet)
    parameters = {**TENANTS["hlidar"]["parameters"], "check_output": value}
    box = fleet_calls.call(
        fleet,
        random.choice(list(fleet.daemons)),
        "/v1/config",
        "PUT",
        {"templates": TEMPLATES, "tenants": {**TENANTS, "hlidar": {**TENANTS["hlidar"], "parameters": parameters}}},
    )

    def look():
        if not box:
            return later(fleet, 5, look)
        status, raw = box[0]
        version = json.decode(raw).get("versions", {}).get("tenants/hlidar") if status == 200 else None
        fleet.notes.record(
            "configured", status=status, asked_ms=int(asked_ms), version=version, value=value, if_match=None
        )

    look()


def voters(fleet, random):
    """Add or remove a voter."""
    standing = [n for n, d in fleet.daemons.items() if d.settings.role == "storage"]
    held = fleet.daemons[standing[0]].ctx.core.ledger.voters
    spare = [n for n in standing if n not in held]
    change = {"add": spare[0]} if spare else {"remove": random.choice(standing)}
    operator(fleet, random, "/v1/voters", "POST", change, "voted")


CHORES = {
    "whole_set": whole_set,
    "voters": voters,
    "misbehave": misbehave,
    "replace": replace,
    "runner_leaves": leave,
    "drain": drain,
    "amend": amend,
    "wrong_config": wrong,
    "large_config": large,
}
