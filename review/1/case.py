"""The system serves again after one store was killed and started again while the configuration changed."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins
from stand_ins import CannotRunError, route, service

ROUTES, CHANGES, DOWN_S, LOOKUPS, READ_S = 3000, 16, 2.8, 20, 20
RECOVERY_S = stand_ins.TIMERS["recovery-s"]


def first_document():
    """A configuration of many routes."""
    routes = [
        route(f"r-{i:05d}", f"h{i % 97}.example", f"/p{i:05d}/", "lookups", **{"route-class": "safe"})
        for i in range(ROUTES)
    ]
    return {"issue": 1, "route-table": routes, "service-table": [service("lookups")], "limits": stand_ins.CONFIG_LIMITS}


async def change(world, base):
    """Change the time-out of one route on top of version `base`; the change is acknowledged."""
    item = route("r-00000", "h0.example", "/p00000/", "lookups", **{"route-class": "safe", "guard-ms": 2000 + base})
    document = {"issue": base + 1, "upsert": {"route-table": [item]}}
    answer = await world.control("POST", "/frostpost/Configuration.Modify", document, base, until_s=8)
    if answer.status != 200:
        raise CannotRunError(f"change {base + 1} is answered {answer.status}")


async def look_up(world):
    """Send lookups one after the other; returns how many are served."""
    served, edges = 0, world.named("edge")
    for i in range(LOOKUPS):
        answer = await world.request(edges[i % 2], "h1.example", "/p00001/2f", f"look-{i}", "GET", timeout_s=1.2)
        served += answer.status == 200
        await asyncio.sleep(0.2)
    world.note("lookups", sent=LOOKUPS, served=served)
    return served


async def change_while_a_store_is_down(world, trouble):
    """Kill one store, change the configuration, start the store again, and go on once it has long been back."""
    await world.open([("lookups", lambda runner, request: b"done")])
    first = first_document()
    world.note("size", routes=ROUTES, document_bytes=len(json.dumps(first, separators=(",", ":"))))
    if (await world.control("POST", "/frostpost/Configuration.Replace", first, 0, until_s=30)).status != 200:
        raise CannotRunError("the first configuration is not taken")
    await world.wait_ready()
    store, begun_s = world.named("storage")[0], asyncio.get_running_loop().time()
    if trouble:
        world.kill(store)
    for base in range(1, CHANGES + 1):
        await change(world, base)
    await asyncio.sleep(max(0.0, begun_s + DOWN_S - asyncio.get_running_loop().time()))
    if trouble:
        world.start(store)
    await asyncio.sleep(RECOVERY_S)
    served, newest = await look_up(world), CHANGES + 1
    answer = await world.control("GET", "/frostpost/Configuration.Query", until_s=READ_S)
    assert answer.status == 200, (
        f"version {newest} was acknowledged; from {RECOVERY_S} s after all machines are back,"
        f" {READ_S} s of reads end with {answer.status}, and {served} of {LOOKUPS} lookups are served"
    )
    issue = json.loads(answer.body)["issue"]
    assert issue == newest, f"version {newest} was acknowledged; the read gives {issue}"


def test_configuration_is_read_back_after_a_store_was_killed():
    """A configuration that was acknowledged is read back once a store that was killed has long been back."""
    stand_ins.play(change_while_a_store_is_down, Path(__file__).parent)


if __name__ == "__main__":
    sys.exit(stand_ins.exit_status(test_configuration_is_read_back_after_a_store_was_killed))
