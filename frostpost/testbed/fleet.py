"""A fleet of real processes on this machine."""

import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

from msgspec import Struct, json

from .templates import TEMPLATES, TENANTS

SIZES = {"full": (8, 3, 5), "quick": (2, 3, 2)}


class Daemon(Struct):
    """One daemon's place, ports and process."""

    name: str
    role: str
    zone: str
    port: int
    http_port: int
    path: str
    process: object = None


class Fleet(Struct):
    """All daemons of a fleet with their stand-ins."""

    folder: str
    daemons: dict[str, Daemon] = {}
    backs: object = None
    list_port: int = 0
    runners: list[dict] = []
    python: str = sys.executable
    seeds: list[str] = []
    held: list = []
    program: str = "frostpost.app.serve"
    before: str = ""


def ports(fleet, many):
    """Return free ports, held by bound sockets."""
    found = []
    for _ in range(many):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        fleet.held.append(sock)
        found.append(sock.getsockname()[1])
    return found


def lay(folder, size="quick", bounds=None):
    """Plan a fleet in a folder."""
    os.makedirs(folder, exist_ok=True)
    fleet = Fleet(os.path.abspath(folder))
    edges, storages, cores = SIZES[size] if isinstance(size, str) else size
    plan = [("storage", "s", storages), ("core", "c", cores), ("edge", "e", edges)]
    free = iter(ports(fleet, 2 * (edges + storages + cores)))
    for role, letter, many in plan:
        for n in range(many):
            name = f"{letter}{n + 1}"
            fleet.daemons[name] = Daemon(
                name, role, "abc"[n % 3], next(free), next(free), os.path.join(fleet.folder, f"{name}.toml")
            )
    cores_ = [d for d in fleet.daemons.values() if d.role != "edge"]
    fleet.seeds = [f"127.0.0.1:{d.port}" for d in cores_[:3]]
    return fleet


def settings_of(fleet, daemon, extra=""):
    """Return a daemon's settings file."""
    voters = [d.name for d in fleet.daemons.values() if d.role == "storage"]
    data = f'data = "{fleet.folder}/{daemon.name}.data"\n' if daemon.role == "storage" else ""
    return (
        f'name = "{daemon.name}"\nrole = "{daemon.role}"\nzone = "{daemon.zone}"\n'
        f'host = "127.0.0.1"\nport = {daemon.port}\nhttp_port = {daemon.http_port}\n'
        f"seeds = {json.encode(fleet.seeds).decode()}\nvoters = {json.encode(voters).decode()}\n{data}"
        f'list = "http://127.0.0.1:{fleet.list_port}/runners"\nhooks = "{fleet.folder}/{daemon.name}.hooks"\n{extra}'
    )


def extend(fleet, name, role, zone):
    """Plan another daemon."""
    inner, http = ports(fleet, 2)
    fleet.daemons[name] = Daemon(name, role, zone, inner, http, os.path.join(fleet.folder, f"{name}.toml"))


def raise_backs(fleet, seed=1):
    """Start the stand-in runners and the list."""
    fleet.backs = subprocess.Popen(
        [fleet.python, "-m", "frostpost.testbed.backs", f"{fleet.folder}/runners.notes", "--seed", str(seed)],
        stdout=subprocess.PIPE,
    )
    said = json.decode(fleet.backs.stdout.readline())
    fleet.list_port, fleet.runners = said["list"], said["runners"]


def start(fleet, name, extra=""):
    """Write a daemon's settings and start its process."""
    daemon = fleet.daemons[name]
    with open(daemon.path, "w") as file:
        file.write(settings_of(fleet, daemon, extra))
    with open(f"{fleet.folder}/{name}.log", "ab") as log:
        daemon.process = subprocess.Popen(
            [fleet.python, "-m", fleet.program, daemon.path],
            stdout=log,
            stderr=log,
            cwd=fleet.before or None,
            env={
                **os.environ,
                **({"PYTHONPATH": fleet.before} if fleet.before else {}),
                "FROSTPOST_SKEW": f"{fleet.folder}/{name}.skew",
            },
        )


def call(fleet, name, path, method="GET", document=None, timeout=15, headers=None):
    """Send an HTTP request; returns (status, document)."""
    daemon = fleet.daemons[name]
    data = document if isinstance(document, bytes) else (json.encode(document) if document is not None else None)
    request = urllib.request.Request(
        f"http://127.0.0.1:{daemon.http_port}{path}", data=data, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            raw = response.read()
            return response.status, json.decode(raw) if raw[:1] in b"{[" else raw
    except urllib.error.HTTPError as error:
        raw = error.read()
        return error.code, json.decode(raw) if raw[:1] in b"{[" else raw
    except (OSError, TimeoutError) as error:
        return 0, {"error": {"type": type(error).__name__}}


def wait_for(test, timeout_s, every_s=0.05):
    """Poll a test until it holds; returns whether it did in time."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if test():
            return True
        time.sleep(every_s)
    return False


def ready(fleet, names=None):
    """Tell whether daemons serve."""
    return all(call(fleet, n, "/v1/ready", timeout=2)[0] == 200 for n in names or fleet.daemons)


def raise_(fleet, seed=1, wait_s=60):
    """Start everything; returns whether all daemons became ready."""
    raise_backs(fleet, seed)
    for name in fleet.daemons:
        start(fleet, name)
    return wait_for(lambda: ready(fleet), wait_s)


def stamp_all(fleet, door=None):
    """Put all templates and tenants into effect."""
    door = door or next(n for n, d in fleet.daemons.items() if d.role == "edge")
    said = []
    for name, template in TEMPLATES.items():
        said.append(call(fleet, door, f"/v1/config/templates/{name}", "PUT", template))
    for name, tenant in TENANTS.items():
        said.append(call(fleet, door, f"/v1/config/tenants/{name}", "PUT", tenant))
    return said


def load(fleet, seconds, factor=1.0, seed=1, tag="p", doors=None):
    """Start stand-in callers."""
    edges = doors or [n for n, d in fleet.daemons.items() if d.role == "edge"]
    words = [w for n in edges for w in ("--door", f"127.0.0.1:{fleet.daemons[n].http_port}")]
    return subprocess.Popen(
        [
            fleet.python,
            "-m",
            "frostpost.testbed.callers",
            f"{fleet.folder}/callers.notes",
            *words,
            "--seconds",
            str(seconds),
            "--factor",
            str(factor),
            "--seed",
            str(seed),
            "--tag",
            tag,
        ]
    )


def send(fleet, name, signal_):
    """Send a signal to a daemon."""
    daemon = fleet.daemons[name]
    if daemon.process and daemon.process.poll() is None:
        os.kill(daemon.process.pid, signal_)


def kill(fleet, name):
    """Kill a daemon."""
    send(fleet, name, signal.SIGKILL)
    fleet.daemons[name].process.wait()


def end(fleet):
    """End all processes."""
    for daemon in fleet.daemons.values():
        if daemon.process and daemon.process.poll() is None:
            daemon.process.send_signal(signal.SIGCONT)
            daemon.process.kill()
            daemon.process.wait()
    for sock in fleet.held:
        sock.close()
    if fleet.backs:
        fleet.backs.kill()
        fleet.backs.wait()
        fleet.backs.stdout.close()
