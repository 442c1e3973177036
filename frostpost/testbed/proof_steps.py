"""Steps that the proofs on real processes share."""

import signal
import time

from msgspec import json

from .fleet import call, ready, send_signal, start, wait_for


def set_hooks(fleet, name, **fields):
    """Write a daemon's test hooks; without fields this clears them."""
    with open(f"{fleet.folder}/{name}.hooks", "wb") as file:
        file.write(json.encode(fields))


def status_of(fleet, name):
    """Return a daemon's status."""
    return call(fleet, name, "/v1/status", timeout=3)[1]


def pick_daemon(fleet, role, excluded=()):
    """Return the first daemon of a role that is not excluded."""
    return next(n for n, d in fleet.daemons.items() if d.role == role and n not in excluded)


def sequencer(fleet):
    """Return the name of the sequencer."""
    return status_of(fleet, pick_daemon(fleet, "storage"))["configuration"]["sequencer"]


def duty_holder(fleet, duty):
    """Return the name of the daemon that holds a singleton role."""
    return status_of(fleet, pick_daemon(fleet, "storage"))["duties"][duty]["holder"]


def restart(fleet, name, timeout_s=30):
    """Start a daemon and wait until it is ready. Returns a report of its restart."""
    start(fleet, name)
    start_s = time.monotonic()
    became_ready = wait_for(lambda: ready(fleet, [name]), timeout_s)
    return {"daemon": name, "back": became_ready, "back_ms": round((time.monotonic() - start_s) * 1000)}


def control_runner(row, **fields):
    """Set controls of a stand-in runner."""
    import urllib.request

    request = urllib.request.Request(f"http://127.0.0.1:{row['port']}/stand-in", json.encode(fields), method="POST")
    return json.decode(urllib.request.urlopen(request).read())


def has_progressed(fleet, index):
    """Tell whether all daemons are ready and a storage daemon has applied entries past `index`."""
    return ready(fleet) and status_of(fleet, pick_daemon(fleet, "storage"))["applied"] > index


def restart_gracefully(fleet, name):
    """Stop one daemon by SIGTERM and restart it."""
    send_signal(fleet, name, signal.SIGTERM)
    fleet.daemons[name].process.wait(40)
    return restart(fleet, name)
