"""Proof for racing configuration changes."""

import time
from concurrent.futures import ThreadPoolExecutor

from .fleet import call, ready, wait_for


def send_with_retries(fleet, daemons, path, method, document, attempts=20):
    """Send a request, and repeat it until its response is final. Returns (status, document)."""
    for _ in range(attempts):
        wait_for(lambda: ready(fleet, daemons), 20)
        response = call(fleet, daemons[0], path, method, document, 40)
        if response[0] not in (0, 500, 503, 504):
            return response
    return response


def race_changes(fleet, pool, daemons, round_number):
    """Send two changes of one version through two daemons concurrently. Returns their sorted status codes."""
    path = "/v1/config/tenants/tamar"
    version = send_with_retries(fleet, daemons, path, "GET", None)[1].get("version", 0)
    sends = [
        pool.submit(
            call,
            fleet,
            daemon,
            path,
            "PUT",
            {"template": "kitchens", "parameters": {"retention_ms": 600000 + 2 * round_number + index}},
            15,
            {"if-match": str(version)},
        )
        for index, daemon in enumerate(daemons)
    ]
    return sorted(send.result()[0] for send in sends)


def race_config_changes(fleet, report):
    """Race pairs of changes, then send an invalid and a large change."""
    daemons = [n for n, d in fleet.daemons.items() if d.role == "edge"][:2]
    outcomes = []
    with ThreadPoolExecutor(2) as pool:
        for round_number in range(30):
            outcomes.append(race_changes(fleet, pool, daemons, round_number))
            if outcomes.count([200, 412]) >= 6:
                break
    report["races"] = outcomes
    report["invalid"] = send_with_retries(fleet, daemons, "/v1/config/tenants/tamar", "PUT", {"template": "none"})[0]
    notes = {f"n{i}": "x" * 1000 for i in range(20000)}
    start_s = time.monotonic()
    report["large"] = send_with_retries(
        fleet,
        daemons,
        "/v1/config/templates/large",
        "PUT",
        {"routes": {"one": {"kind": "turn", "pools": ["hmodel"]}}, "notes": notes},
    )
    report["large_ms"] = round((time.monotonic() - start_s) * 1000)
