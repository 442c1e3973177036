"""Acknowledged configurations outlive the loss of all processes when there were hundreds of changes."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins
from stand_ins import CannotRunError, route, service

ROUTES, CHANGES, DOWN_S, LOOKUPS, READ_S = 3000, 200, 0.8, 10, 25
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


async def kill_all(world):
    """Kill all processes at once, and start them again; disks are as they were."""
    for name in world.nodes:
        world.kill(name)
    await asyncio.sleep(DOWN_S)
    for name in world.nodes:
        world.start(name)


async def look_up(world):
    """Send lookups one after the other; returns how many are served."""
    served, edges = 0, world.named("edge")
    for i in range(LOOKUPS):
        answer = await world.request(edges[i % 2], "h1.example", "/p00001/2f", f"look-{i}", "GET", timeout_s=1.2)
        served += answer.status == 200
        await asyncio.sleep(0.2)
    world.note("lookups", sent=LOOKUPS, served=served)
    return served


async def change_and_stop_all(world, trouble):
    """Send changes one after the other, kill all processes, and go on once they have had time to return."""
    await world.open([("lookups", lambda runner, request: b"done")])
    watch = asyncio.ensure_future(world.limit_memory())
    first = first_document()
    world.note("size", routes=ROUTES, document_bytes=len(json.dumps(first, separators=(",", ":"))))
    if (await world.control("POST", "/frostpost/Configuration.Replace", first, 0, until_s=30)).status != 200:
        raise CannotRunError("the first configuration is not taken")
    await world.wait_ready()
    for base in range(1, CHANGES + 1):
        await change(world, base)
    before = await look_up(world)
    world.note("memory before the stop", peaks_mb=str(world.peaks_mb), over=str(world.over_memory))
    if trouble:
        await kill_all(world)
    await asyncio.sleep(RECOVERY_S)
    served, newest = await look_up(world), CHANGES + 1
    answer = await world.control("GET", "/frostpost/Configuration.Query", until_s=READ_S)
    watch.cancel()
    world.note("memory at the end", peaks_mb=str(world.peaks_mb), over=str(world.over_memory))
    assert answer.status == 200, (
        f"version {newest} was acknowledged; from {RECOVERY_S} s after the return, {READ_S} s of reads end with"
        f" {answer.status} and {served} of {LOOKUPS} lookups are served ({before} before);"
        f" killed over their memory: {world.over_memory}"
    )
    issue = json.loads(answer.body)["issue"]
    assert issue == newest, f"version {newest} was acknowledged; the read gives {issue}"


def test_configuration_is_read_back_after_many_changes_and_a_stop_of_all():
    """A configuration that was acknowledged is read back after all processes were killed and started again."""
    stand_ins.play(change_and_stop_all, Path(__file__).parent)


if __name__ == "__main__":
    sys.exit(stand_ins.exit_status(test_configuration_is_read_back_after_many_changes_and_a_stop_of_all))
