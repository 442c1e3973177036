"""A proof of racing configuration changes."""

import time
from concurrent.futures import ThreadPoolExecutor

from .fleet import call, ready, wait_for


def insist(fleet, names, path, method, document, attempts=20):
    """Send a request until it has a final answer."""
    for _ in range(attempts):
        wait_for(lambda: ready(fleet, names), 20)
        said = call(fleet, names[0], path, method, document, 40)
        if said[0] not in (0, 500, 503, 504):
            return said
    return said


def race(fleet, pool, doors, n):
    """Send two changes against one version through two daemons; return their sorted status codes."""
    path = "/v1/config/tenants/tamar"
    version = insist(fleet, doors, path, "GET", None)[1].get("version", 0)
    jobs = [
        pool.submit(
            call,
            fleet,
            door,
            path,
            "PUT",
            {"template": "kitchens", "parameters": {"retention_ms": 600000 + 2 * n + k}},
            15,
            {"if-match": str(version)},
        )
        for k, door in enumerate(doors)
    ]
    return sorted(j.result()[0] for j in jobs)


def races(fleet, facts):
    """Run races, an invalid change and a large one."""
    doors = [n for n, d in fleet.daemons.items() if d.role == "edge"][:2]
    won = []
    with ThreadPoolExecutor(2) as pool:
        for n in range(30):
            won.append(race(fleet, pool, doors, n))
            if won.count([200, 412]) >= 6:
                break
    facts["races"] = won
    facts["invalid"] = insist(fleet, doors, "/v1/config/tenants/tamar", "PUT", {"template": "none"})[0]
    notes = {f"n{i}": "x" * 1000 for i in range(20000)}
    start_s = time.monotonic()
    facts["large"] = insist(
        fleet,
        doors,
        "/v1/config/templates/large",
        "PUT",
        {"routes": {"one": {"kind": "turn", "pools": ["hmodel"]}}, "notes": notes},
    )
    facts["large_ms"] = round((time.monotonic() - start_s) * 1000)
