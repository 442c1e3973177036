"""An operation is repeated with its key after its route has moved to another host."""

import os
import sys

from deployment import (
    HOST,
    ROUTES,
    CannotRunError,
    asyncio,
    begin,
    exit_status,
    has_trouble,
    play,
    time,
)

OTHER_HOST, KEY_WINDOW_S, APPLY_S, KEYS = "status.example", 60, 2.0, 5
ROUTE = next(item for item in ROUTES if item["name"] == "status")


async def move(deployment, issue, base, name, **fields):
    """Take the route away and add it under another name, host or prefix in one change; wait until it is in force."""
    removed = ROUTE["name"] if base == 5 else "status-2"
    change = {
        "issue": issue,
        "upsert": {"route-table": [{**ROUTE, "name": name, **fields}]},
        "remove": {"route-table": [removed]},
    }
    answer = await deployment.operator("POST /frostpost/Configuration.Modify", change, base)
    if answer.status != 200:
        raise CannotRunError(f"the change got {answer.status}")
    await asyncio.sleep(APPLY_S + 0.2)


async def repeat_keys(deployment, edge, path, keys, host):
    """Send each operation once; returns the stamps of the good answers by key."""
    seals = {}
    for key in keys:
        answer = await deployment.request(edge, "POST", path, {"X-Operation-Key": key}, b"claim", 1.5, host=host)
        if answer.status == 200 and answer.whole:
            seals[key] = answer.seal
    return seals


async def case(deployment):
    """Run operations, move their route, and repeat them from another zone within the window of their keys."""
    if not await begin(deployment):
        raise CannotRunError("the deployment did not start")
    edges, started_s = deployment.of_role("edge"), time.monotonic()
    keys = [f"k-{deployment.run_id}-{number}" for number in range(KEYS)]
    first = await repeat_keys(deployment, edges[0], "/status/1", keys, HOST)
    if len(first) < KEYS:
        raise CannotRunError("the first runs were not answered")
    await move(deployment, 7, 5, "status-2", **{"path-prefix": "/moved/"})
    again = await repeat_keys(deployment, edges[1], "/moved/1", keys, HOST)
    if again != first:
        raise CannotRunError("a repeat at the same host did not get the first answer")
    host = OTHER_HOST if has_trouble() else HOST
    if has_trouble():
        await move(deployment, 9, 7, "status-3", host=OTHER_HOST, **{"path-prefix": "/moved/"})
    again = await repeat_keys(deployment, edges[2], "/moved/1", keys, host)
    if time.monotonic() - started_s > KEY_WINDOW_S or len(again) < KEYS:
        raise CannotRunError("the repeats were late or not answered")
    runs = [line for line in deployment.record.of("run") if line["key"]]
    twice = [key for key in keys if sum(line["key"] == key for line in runs) > 1]
    assert not twice, f"TWICE: {len(twice)} of {KEYS} keys ran twice: {twice}"
    assert again == first, "MIXED: a repeat got another answer than the first run's"


def test_key_runs_once_after_its_route_moved_to_another_host():
    """Check that a key whose route moved to another host runs once."""
    play(os.path.dirname(os.path.abspath(__file__)), case)


if __name__ == "__main__":
    sys.exit(exit_status(test_key_runs_once_after_its_route_moved_to_another_host))
