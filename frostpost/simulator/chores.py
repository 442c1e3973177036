"""Operators' and runners' events of the whole-path simulation."""

from msgspec import json

from frostpost.testbed.runner import CUTS
from frostpost.testbed.templates import TEMPLATES, TENANTS

from . import valley as valleys
from . import valley_calls
from .gusts import show
from .valley import later

MODES = (*CUTS, "stall", "bare503", "endless")


def any_runner(valley, random):
    """Return (host, runner) of a random runner."""
    address = random.choice(sorted(valley.backs))
    return valley.net.hosts[address], valley.backs[address]


def misbehave(valley, random, mode=None):
    """Make a runner misbehave for a while."""
    _, runner = any_runner(valley, random)
    runner.mode = mode or random.choice(MODES)
    later(valley, random.uniform(200, 1500), behave, runner)


def behave(runner):
    """Make a runner behave again."""
    runner.mode = "well"


def replace(valley, random, careless=None):
    """Replace a runner by another under its address."""
    host, old = any_runner(valley, random)
    others = [r for r in valley.backs.values() if r.pool != old.pool]
    last = not any(r is not old and r.pool == old.pool and not r.away for r in valley.backs.values())
    host.die()
    host.boot()
    pool = random.choice(others).pool if random.random() < 0.5 and not last else old.pool
    careless = random.random() < 0.5 if careless is None else careless
    name = f"{pool}-{len(valley.runner_notes.lines)}"
    valleys.raise_runner(valley, host, name, pool, old.room, careless=careless and pool != old.pool)
    later(valley, random.uniform(0, 1500), show, valley)


def leave(valley, random):
    """Let a runner report that it leaves."""
    _, runner = any_runner(valley, random)
    if sum(r.pool == runner.pool and not r.away for r in valley.backs.values()) < 2:
        return
    runner.leaving = runner.away = True
    valley.runner_notes.say("changed", runner=runner.name, mode=runner.mode, leaving=True)
    later(valley, 5000, stay, valley, runner)


def stay(valley, runner):
    """Put a new instance in the place of a runner that left."""
    row = next((r for r in valley.rows if r["name"] == runner.name), None)
    if row is not None:
        host = valley.net.hosts[row["host"]]
        host.die()
        host.boot()
        valleys.raise_runner(valley, host, f"{runner.pool}-{len(valley.runner_notes.lines)}", runner.pool, runner.room)
        show(valley)


def drain(valley, random):
    """Let an operator drain a runner."""
    _, runner = any_runner(valley, random)
    if sum(r.pool == runner.pool and not r.away for r in valley.backs.values()) < 2:
        return
    runner.away = True
    operator(
        valley, random, f"/v1/runners/{runner.name}/drain", "POST", {"leaving": True}, "drained", runner=runner.name
    )
    later(valley, 6000, stay, valley, runner)


def operator(valley, random, path, method, document, kind, headers=None, door=None, **facts):
    """Send an operator's request and record its response."""
    door = door or random.choice(list(valley.daemons))
    asked_ms = int(valleys.clock_ms(valley))
    box = valley_calls.call(valley, door, path, method, document, headers)

    def look():
        if not box:
            return later(valley, 5, look)
        status, raw = box[0]
        said = json.decode(raw) if raw[:1] == b"{" else {}
        valley.notes.say(
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


def value_of(valley):
    """Return a parameter value that was not used before."""
    valley.amends += 1
    return 1000 + valley.amends


def amend(valley, random, two=True):
    """Change a tenant's parameter, twice at once against one version if `two`."""
    version = max((n["version"] or 0 for n in valley.notes.lines if n["kind"] == "configured"), default=1)
    headers = {"if-match": f'"{version}"'} if two else None
    if_match = version if two else None
    for _ in range(2 if two else 1):
        value = value_of(valley)
        parameters = {**TENANTS["hlidar"]["parameters"], "check_output": value}
        if random.random() < 0.5:
            operator(
                valley,
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
                valley,
                random,
                "/v1/config/tenants/hlidar",
                "PATCH",
                {"parameters": {"check_output": value}},
                "configured",
                headers,
                value=value,
                if_match=if_match,
            )


def wrong(valley, random):
    """Send an invalid change."""
    value = value_of(valley)
    operator(
        valley,
        random,
        "/v1/config/tenants/hlidar",
        "PATCH",
        {"parameters": {"check_output": value, "retention_ms": 1}},
        "configured",
        value=value,
    )


def large(valley, random):
    """Send a large template."""
    template = {**TEMPLATES["clerks"], "notes": {"n": "x" * 600000, "at": valley.amends}}
    operator(valley, random, "/v1/config/templates/clerks", "PUT", template, "enlarged")


def whole_set(valley, random):
    """Send all documents as one change."""
    value, asked_ms = value_of(valley), valleys.clock_ms(valley)
    parameters = {**TENANTS["hlidar"]["parameters"], "check_output": value}
    box = valley_calls.call(
        valley,
        random.choice(list(valley.daemons)),
        "/v1/config",
        "PUT",
        {"templates": TEMPLATES, "tenants": {**TENANTS, "hlidar": {**TENANTS["hlidar"], "parameters": parameters}}},
    )

    def look():
        if not box:
            return later(valley, 5, look)
        status, raw = box[0]
        version = json.decode(raw).get("versions", {}).get("tenants/hlidar") if status == 200 else None
        valley.notes.say(
            "configured", status=status, asked_ms=int(asked_ms), version=version, value=value, if_match=None
        )

    look()


def voters(valley, random):
    """Add or remove a voter."""
    standing = [n for n, d in valley.daemons.items() if d.settings.role == "storage"]
    held = valley.daemons[standing[0]].ctx.core.ledger.voters
    spare = [n for n in standing if n not in held]
    change = {"add": spare[0]} if spare else {"remove": random.choice(standing)}
    operator(valley, random, "/v1/voters", "POST", change, "voted")


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
