"""Keys, turns and budgets of a tenant stay its own while the configuration changes whether a route needs a key."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins
from stand_ins import CannotRunError, route, service

HOST, SECRET, OTHER_SECRET = "ficu95.example", "m82thhkmgjqnirth5mgj", "y5rcpihhacruddedev3n"
BEARER, OTHER_BEARER = {"Authorization": f"Bearer {SECRET}"}, {"Authorization": f"Bearer {OTHER_SECRET}"}
APPLY_S, KEY_WINDOW_S, RETENTION_S = stand_ins.TIMERS["apply-ms"] / 1000, stand_ins.TIMERS["key-window-s"], 60.0


def routes(keyless):
    """The routes of the deployment; `keyless` is what the change sets."""
    return [
        route("r-status", HOST, "/status/", "lookups", **{"route-class": "idempotent", "keyless": keyless}),
        route("r-turn", HOST, "/turn/", "agents", **{"route-class": "streaming", "retained": True, "keyless": keyless}),
    ]


def document():
    """The first configuration: two tenants with a key each; both routes ask for one."""
    engine = {"capacity": 16, "cache-tokens": 604753, "event-tokens": 30, "model-list": [{"name": "m"}]}
    return {
        "issue": 1,
        "route-table": routes(False),
        "service-table": [service("lookups"), service("agents", engine=engine)],
        "limits": stand_ins.CONFIG_LIMITS,
        "subscribers": [
            {"name": "hule930", "credentials": [SECRET], "precedence": 0},
            {"name": "fida11", "credentials": [OTHER_SECRET], "precedence": 0},
        ],
    }


async def change_routes(world):
    """Replace both routes by name, with another value of `keyless`; the change is acknowledged."""
    change = {"issue": 2, "upsert": {"route-table": routes(True)}}
    answer = await world.control("POST", "/frostpost/Configuration.Modify", change, 1)
    if answer.status != 200:
        raise CannotRunError(f"the change is answered {answer.status}")
    await asyncio.sleep(APPLY_S + 0.5)


def broken_rules(world, second_turn, foreign):
    """The rules that what runners and clients have seen breaks, as texts; foreign: an answer to the other tenant."""
    found = []
    for key in ("k-lost", "k-answered"):
        runs = [r for r in world.runs if r["headers"].get("x-operation-key") == key]
        own = [r for r in runs if r["headers"].get("x-subscriber") == "hule930"]
        own = [r for r in own if r["begun_s"] < world.sent_s[own[0]["headers"]["x-attempt-id"]] + KEY_WINDOW_S]
        if len(own) > 1:
            found.append(f"TWICE: {len(own)} requests of tenant hule930 with key {key} ran")
    is_kept = world.sent_s["turn-2"] < world.answered_s["turn-1"] + RETENTION_S
    if second_turn.status in (404, 410) and is_kept:
        found.append(f"LOST: the turn after one that was answered whole is answered {second_turn.status}")
    if foreign.status == 200 and foreign.body != b"done try-5":
        found.append(f"MIXED: try-5 of tenant fida11 is answered {foreign.body.decode()!r}, an answer to hule930")
    return found


async def repeat_around_a_change(world, trouble):
    """Repeat an operation whose answer was lost, and one that was answered, around the change; go on with a program."""
    lost = {"left": 1}

    def look_up(runner, request):
        if request["headers"].get("x-operation-key") == "k-lost" and lost["left"]:
            lost["left"] -= 1
            return None
        return b"done " + request["headers"]["x-attempt-id"].encode()

    def take_turn(runner, request):
        return b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"

    await world.open([("lookups", look_up), ("agents", take_turn)])
    if (await world.control("POST", "/frostpost/Configuration.Replace", document(), 0, until_s=30)).status != 200:
        raise CannotRunError("the first configuration is not taken")
    await world.wait_ready()
    here, there = world.named("edge")
    program = {
        "X_Program_Id": "3fa81c", "X_Session_Id": "77d20b", "X_Program_Deadline": 20000, "X_Token_Budget": 4640,
        "X_Token_Count": "100,580", **BEARER,
    }  # fmt: skip
    first = await world.request(here, HOST, "/turn/4b", "turn-1", body=b"hello\n", **program)
    answered = await world.request(here, HOST, "/status/2f", "try-1", X_Operation_Key="k-answered", **BEARER)
    if first.status != 200 or answered.status != 200:
        raise CannotRunError(f"the first requests are answered {first.status} and {answered.status}")
    await world.request(here, HOST, "/status/2f", "try-2", X_Operation_Key="k-lost", **BEARER)
    if trouble:
        await change_routes(world)
    await world.request(there, HOST, "/status/2f", "try-3", X_Operation_Key="k-lost", **BEARER)
    await world.request(there, HOST, "/status/2f", "try-4", X_Operation_Key="k-answered", **BEARER)
    second = await world.request(
        there, HOST, "/turn/4b", "turn-2", body=b"and then\n", X_Previous_Turn="turn-1", **program
    )
    foreign = await world.request(there, HOST, "/status/2f", "try-5", X_Operation_Key="k-answered", **OTHER_BEARER)
    found = broken_rules(world, second, foreign)
    assert not found, "; ".join(found)


def test_key_runs_once_while_a_route_becomes_keyless():
    """The requests of a tenant with one key run once, whatever a change says of the route's `keyless`."""
    stand_ins.play(repeat_around_a_change, Path(__file__).parent)


if __name__ == "__main__":
    sys.exit(stand_ins.exit_status(test_key_runs_once_while_a_route_becomes_keyless))
