"""Digests of the output of seeded simulations, by which a refactoring can be shown to preserve behaviour.

There are three simulations: the daemons' core, the whole path of our own interface, and days of a deployment on the
users' machines. A digest covers, in order and with the virtual time, encoded internal messages, bytes written to every
connection (frames between daemons, HTTP to clients, runners and the platform) and all disk writes. It does not cover
log lines or the names of types and fields.

    PYTHONPATH=tests python -m behaviour_fingerprint            compare all recorded runs
    PYTHONPATH=tests python -m behaviour_fingerprint --record   record all runs again, after an intended change
    PYTHONPATH=tests python -m behaviour_fingerprint RUN ...    compare the given runs
"""

import re
import sys
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from hashlib import sha256
from pathlib import Path

import msgspec
from fleet_simulator import play as days
from fleet_simulator.shapes import SHAPES

from frostpost.simulator import connections, simulated_disk, whole_path
from frostpost.simulator import play as storms
from frostpost.simulator import world as worlds

RECORDED = Path(__file__).parent / "data" / "behaviour_fingerprint.json"
WORKERS = 4
# Twisted's web server sends the real time of day.
WALL_CLOCK = re.compile(rb"(?i)^date: [^\r]*\r\n", re.MULTILINE)


class Digest:
    """A running hash of the output of a simulation, and the number of items added to it."""

    def __init__(self):
        self.hash, self.item_count = sha256(), 0

    def add(self, *parts):
        """Add one item, which consists of names, times and bytes."""
        self.item_count += 1
        for part in parts:
            data = part if isinstance(part, bytes) else str(part).encode()
            self.hash.update(len(data).to_bytes(8, "big") + data)

    def text(self):
        """Return the digest in its recorded form."""
        return f"{self.item_count}:{self.hash.hexdigest()[:32]}"


@contextmanager
def patched(owner, name, replacement):
    """Replace an attribute of a module or class within a with block."""
    original = getattr(owner, name)
    setattr(owner, name, replacement(original))
    try:
        yield
    finally:
        setattr(owner, name, original)


def digesting_send(digest):
    """Return a wrapper for `send` that adds each encoded message between cores."""

    def replacement(original):
        def send(world, node, target, body):
            digest.add(world.now_ms, node.name, target, msgspec.msgpack.encode(body, order="sorted"))
            return original(world, node, target, body)

        return send

    return replacement


def digesting_perform(digest):
    """Return a wrapper for `perform` that adds the records that a core writes."""

    def replacement(original):
        def perform(world, node, out):
            for record in out.writes:
                digest.add(world.now_ms, node.name, "write", msgspec.msgpack.encode(record))
            return original(world, node, out)

        return perform

    return replacement


def digesting_write(digest):
    """Return a wrapper for `write` that adds the bytes written to a connection."""

    def replacement(original):
        def write(self, data):
            digest.add(
                self.net.clock.seconds(), *self.local_address, *self.remote_address, WALL_CLOCK.sub(b"", bytes(data))
            )
            return original(self, data)

        return write

    return replacement


def digesting_files(digest):
    """Return a wrapper for `files_of` that adds the calls that change a simulated disk."""

    def replacement(original):
        def files_of(disk):
            files = original(disk)
            wrapped = {}
            for name in ("write", "pwrite", "ftruncate", "replace"):
                wrapped[name] = digesting_call(digest, name, getattr(files, name))
            return msgspec.structs.replace(files, **wrapped)

        return files_of

    return replacement


def digesting_call(digest, name, call):
    """Return a wrapper for a file operation that adds its name and arguments."""

    def call_digested(*arguments):
        digest.add(name, *(bytes(a) if isinstance(a, memoryview | bytearray) else a for a in arguments))
        return call(*arguments)

    return call_digested


def core_run(seed):
    """Return the digest of a run of the daemons' core."""
    digest = Digest()
    with (
        patched(worlds, "send", digesting_send(digest)),
        patched(worlds, "perform", digesting_perform(digest)),
    ):
        storms.play(seed, 2, 3, 2, gap_ms=1200, storm_ms=9000)
    return digest.text()


def whole_run(seed):
    """Return the digest of a run of the whole path of our own interface."""
    digest = Digest()
    with (
        patched(connections.Connection, "write", digesting_write(digest)),
        patched(simulated_disk, "files_of", digesting_files(digest)),
    ):
        whole_path.play(seed, storm_ms=4000)
    return digest.text()


def fleet_run(seed, shape):
    """Return the digest of a day of a deployment on the users' machines."""
    digest = Digest()
    with (
        patched(connections.Connection, "write", digesting_write(digest)),
        patched(simulated_disk, "files_of", digesting_files(digest)),
    ):
        days.play(seed, SHAPES[shape], storm_ms=5000, gap_ms=1500)
    return digest.text()


KINDS = {"core": core_run, "whole": whole_run, "fleet": fleet_run}
# The runs that CI compares.
SLICE = ("core/1", "core/2", "whole/3", "fleet/1/three", "fleet/2/spare")
RUNS = (
    *(f"core/{seed}" for seed in range(1, 13)),
    *(f"whole/{seed}" for seed in range(3, 7)),
    *(f"fleet/{seed}/{shape}" for seed, shape in enumerate(("three", "spare", *SHAPES), 1)),
)


def fingerprint(run):
    """Return the digest of a run, which is named by its kind, seed and, for fleets, shape."""
    kind, seed, *shape = run.split("/")
    return KINDS[kind](int(seed), *shape)


def recorded():
    """Return the recorded digests by run."""
    return msgspec.json.decode(RECORDED.read_bytes(), type=dict[str, str])


def compare(runs, record):
    """Compare the digests of runs with the recorded ones, or record them; returns exit status 1 if one differs."""
    with ProcessPoolExecutor(WORKERS) as pool:
        actual = dict(zip(runs, pool.map(fingerprint, runs), strict=True))
    if record:
        RECORDED.write_bytes(msgspec.json.format(msgspec.json.encode(actual), indent=2) + b"\n")
        return 0
    expected = recorded()
    different = [run for run in runs if expected.get(run) != actual[run]]
    for run in different:
        print(f"{run}: recorded {expected.get(run)}, now {actual[run]}")
    print(f"{len(runs) - len(different)} of {len(runs)} runs as recorded")
    return 1 if different else 0


def main(arguments):
    """Run the command line; returns the exit status."""
    runs = [argument for argument in arguments if argument != "--record"] or RUNS
    return compare(runs, "--record" in arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
