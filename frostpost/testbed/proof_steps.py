"""Steps that proofs on real processes share."""

import signal
import time

from msgspec import json

from .fleet import call, ready, send, start, wait_for


def hook(fleet, name, **facts):
    """Write a daemon's test hooks."""
    with open(f"{fleet.folder}/{name}.hooks", "wb") as file:
        file.write(json.encode(facts))


def status_of(fleet, name):
    """Return a daemon's status."""
    return call(fleet, name, "/v1/status", timeout=3)[1]


def one(fleet, role, skip=()):
    """Return the name of a daemon of a role."""
    return next(n for n, d in fleet.daemons.items() if d.role == role and n not in skip)


def sequencer(fleet):
    """Return the name of the leader."""
    return status_of(fleet, one(fleet, "storage"))["configuration"]["sequencer"]


def holder(fleet, duty):
    """Return the name of the holder of a duty."""
    return status_of(fleet, one(fleet, "storage"))["duties"][duty]["holder"]


def again(fleet, name, wait_s=30):
    """Start a daemon again and wait until it serves."""
    start(fleet, name)
    start_s = time.monotonic()
    up = wait_for(lambda: ready(fleet, [name]), wait_s)
    return {"daemon": name, "back": up, "back_ms": round((time.monotonic() - start_s) * 1000)}


def change(row, **facts):
    """Change a stand-in runner's behaviour."""
    import urllib.request

    request = urllib.request.Request(f"http://127.0.0.1:{row['port']}/stand-in", json.encode(facts), method="POST")
    return json.decode(urllib.request.urlopen(request).read())


def advanced(fleet, index):
    """Whether all daemons are ready and a storage daemon has applied more than `index` entries."""
    return ready(fleet) and status_of(fleet, one(fleet, "storage"))["applied"] > index


def round_one(fleet, name):
    """Restart one daemon."""
    send(fleet, name, signal.SIGTERM)
    fleet.daemons[name].process.wait(40)
    return again(fleet, name)
