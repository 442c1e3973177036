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
    """A daemon's role, zone, ports, settings file and process."""

    name: str
    role: str
    zone: str
    port: int
    http_port: int
    path: str
    process: object = None


class Fleet(Struct):
    """The daemons of a fleet and its stand-ins.

    `reserved_sockets` are bound so that no other process takes the ports. `previous_version` is the folder from which
    daemons start, if they are to run another version than this one.
    """

    folder: str
    daemons: dict[str, Daemon] = {}
    backends: object = None
    list_port: int = 0
    runners: list[dict] = []
    python: str = sys.executable
    seeds: list[str] = []
    reserved_sockets: list = []
    daemon_module: str = "frostpost.app.serve"
    previous_version: str = ""


def reserve_ports(fleet, count):
    """Return free ports, reserved by bound sockets."""
    numbers = []
    for _ in range(count):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        fleet.reserved_sockets.append(sock)
        numbers.append(sock.getsockname()[1])
    return numbers


def plan_fleet(folder, size="quick", bounds=None):
    """Plan a fleet in a folder; starts nothing."""
    os.makedirs(folder, exist_ok=True)
    fleet = Fleet(os.path.abspath(folder))
    edges, storages, cores = SIZES[size] if isinstance(size, str) else size
    plan = [("storage", "s", storages), ("core", "c", cores), ("edge", "e", edges)]
    free_ports = iter(reserve_ports(fleet, 2 * (edges + storages + cores)))
    for role, letter, count in plan:
        for index in range(count):
            name = f"{letter}{index + 1}"
            fleet.daemons[name] = Daemon(
                name,
                role,
                "abc"[index % 3],
                next(free_ports),
                next(free_ports),
                os.path.join(fleet.folder, f"{name}.toml"),
            )
    seed_daemons = [d for d in fleet.daemons.values() if d.role != "edge"]
    fleet.seeds = [f"127.0.0.1:{d.port}" for d in seed_daemons[:3]]
    return fleet


def render_settings(fleet, daemon, extra=""):
    """Return the content of a daemon's settings file."""
    voters = [d.name for d in fleet.daemons.values() if d.role == "storage"]
    data = f'data = "{fleet.folder}/{daemon.name}.data"\n' if daemon.role == "storage" else ""
    return (
        f'name = "{daemon.name}"\nrole = "{daemon.role}"\nzone = "{daemon.zone}"\n'
        f'host = "127.0.0.1"\nport = {daemon.port}\nhttp_port = {daemon.http_port}\n'
        f"seeds = {json.encode(fleet.seeds).decode()}\nvoters = {json.encode(voters).decode()}\n{data}"
        f'list = "http://127.0.0.1:{fleet.list_port}/runners"\nhooks = "{fleet.folder}/{daemon.name}.hooks"\n{extra}'
    )


def add_daemon(fleet, name, role, zone):
    """Plan another daemon; doesn't start it."""
    port, http_port = reserve_ports(fleet, 2)
    fleet.daemons[name] = Daemon(name, role, zone, port, http_port, os.path.join(fleet.folder, f"{name}.toml"))


def start_backends(fleet, seed=1):
    """Start the stand-in runners and the platform's list."""
    fleet.backends = subprocess.Popen(
        [fleet.python, "-m", "frostpost.testbed.backends", f"{fleet.folder}/runners.notes", "--seed", str(seed)],
        stdout=subprocess.PIPE,
    )
    response = json.decode(fleet.backends.stdout.readline())
    fleet.list_port, fleet.runners = response["list"], response["runners"]


def start(fleet, name, extra=""):
    """Write a daemon's settings and start its process."""
    daemon = fleet.daemons[name]
    with open(daemon.path, "w") as file:
        file.write(render_settings(fleet, daemon, extra))
    with open(f"{fleet.folder}/{name}.log", "ab") as log:
        daemon.process = subprocess.Popen(
            [fleet.python, "-m", fleet.daemon_module, daemon.path],
            stdout=log,
            stderr=log,
            cwd=fleet.previous_version or None,
            env={
                **os.environ,
                **({"PYTHONPATH": fleet.previous_version} if fleet.previous_version else {}),
                "FROSTPOST_SKEW": f"{fleet.folder}/{name}.skew",
            },
        )


def call(fleet, name, path, method="GET", document=None, timeout=15, headers=None):
    """Send an HTTP request. Returns (status, document); the status is 0 if the connection failed."""
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


def wait_for(condition, timeout_s, interval_s=0.05):
    """Poll a condition until it holds. Returns whether it did in time."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if condition():
            return True
        time.sleep(interval_s)
    return False


def ready(fleet, names=None):
    """Tell whether daemons are ready to serve; all if no names are given."""
    return all(call(fleet, n, "/v1/ready", timeout=2)[0] == 200 for n in names or fleet.daemons)


def start_fleet(fleet, seed=1, wait_s=60):
    """Start the stand-ins and all daemons. Returns whether all daemons became ready."""
    start_backends(fleet, seed)
    for name in fleet.daemons:
        start(fleet, name)
    return wait_for(lambda: ready(fleet), wait_s)


def apply_configs(fleet, edge=None):
    """Apply all templates and tenants. Returns the responses."""
    edge = edge or next(n for n, d in fleet.daemons.items() if d.role == "edge")
    responses = []
    for name, template in TEMPLATES.items():
        responses.append(call(fleet, edge, f"/v1/config/templates/{name}", "PUT", template))
    for name, tenant in TENANTS.items():
        responses.append(call(fleet, edge, f"/v1/config/tenants/{name}", "PUT", tenant))
    return responses


def start_callers(fleet, seconds, factor=1.0, seed=1, tag="p", edge_names=None):
    """Start stand-in callers that send to the given edge daemons, or to all."""
    edges = edge_names or [n for n, d in fleet.daemons.items() if d.role == "edge"]
    address_options = [option for n in edges for option in ("--door", f"127.0.0.1:{fleet.daemons[n].http_port}")]
    return subprocess.Popen(
        [
            fleet.python,
            "-m",
            "frostpost.testbed.callers",
            f"{fleet.folder}/callers.notes",
            *address_options,
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


def send_signal(fleet, name, number):
    """Send a signal to a daemon."""
    daemon = fleet.daemons[name]
    if daemon.process and daemon.process.poll() is None:
        os.kill(daemon.process.pid, number)


def kill(fleet, name):
    """Kill a daemon and wait for its end."""
    send_signal(fleet, name, signal.SIGKILL)
    fleet.daemons[name].process.wait()


def stop_fleet(fleet):
    """Kill all processes and release the ports."""
    for daemon in fleet.daemons.values():
        if daemon.process and daemon.process.poll() is None:
            daemon.process.send_signal(signal.SIGCONT)
            daemon.process.kill()
            daemon.process.wait()
    for sock in fleet.reserved_sockets:
        sock.close()
    if fleet.backends:
        fleet.backends.kill()
        fleet.backends.wait()
        fleet.backends.stdout.close()
