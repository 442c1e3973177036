"""Digests of everything that leaves the code in seeded simulations: a refactoring must not move one byte of it.

Three simulations are played: the daemons' core, the whole path of the own interface, and days of a deployment on the
users' machines. A digest covers, in order and with the virtual time, inner messages as encoded, bytes written to every
connection (frames between daemons, HTTP to clients, runners and the platform) and all disk writes. Log lines and the
names of types and fields are outside of it.

    PYTHONPATH=tests python -m behaviour_fingerprint            compare all recorded runs
    PYTHONPATH=tests python -m behaviour_fingerprint --record   record them anew, after an intended change
    PYTHONPATH=tests python -m behaviour_fingerprint RUN ...    compare some of them
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

from frostpost.simulator import drives, whole, wires
from frostpost.simulator import play as storms
from frostpost.simulator import world as worlds

RECORDED = Path(__file__).parent / "data" / "behaviour_fingerprint.json"
WORKERS = 4
# Twisted's web server stamps its answers with the real time of day.
WALL_CLOCK = re.compile(rb"(?i)^date: [^\r]*\r\n", re.MULTILINE)


class Digest:
    """A running hash of what leaves the code, and how many pieces went in."""

    def __init__(self):
        self.hash, self.pieces = sha256(), 0

    def add(self, *parts):
        """Add one piece: names, times and bytes."""
        self.pieces += 1
        for part in parts:
            data = part if isinstance(part, bytes) else str(part).encode()
            self.hash.update(len(data).to_bytes(8, "big") + data)

    def text(self):
        """The digest as it is recorded."""
        return f"{self.pieces}:{self.hash.hexdigest()[:32]}"


@contextmanager
def patched(owner, name, replacement):
    """Put a replacement in the place of an attribute for a while."""
    original = getattr(owner, name)
    setattr(owner, name, replacement(original))
    try:
        yield
    finally:
        setattr(owner, name, original)


def watched_send(digest):
    """Digest each message between cores as its bytes in a frame."""

    def replacement(original):
        def send(world, node, target, body):
            digest.add(world.now_ms, node.name, target, msgspec.msgpack.encode(body, order="sorted"))
            return original(world, node, target, body)

        return send

    return replacement


def watched_perform(digest):
    """Digest the records that a core writes."""

    def replacement(original):
        def perform(world, node, out):
            for record in out.writes:
                digest.add(world.now_ms, node.name, "write", msgspec.msgpack.encode(record))
            return original(world, node, out)

        return perform

    return replacement


def watched_write(digest):
    """Digest the bytes written to a connection."""

    def replacement(original):
        def write(self, data):
            digest.add(self.net.clock.seconds(), *self.here, *self.there, WALL_CLOCK.sub(b"", bytes(data)))
            return original(self, data)

        return write

    return replacement


def watched_files(digest):
    """Digest the calls that change a simulated disk."""

    def replacement(original):
        def files_of(drive):
            files = original(drive)
            changes = {}
            for name in ("write", "pwrite", "ftruncate", "replace"):
                changes[name] = noting(digest, name, getattr(files, name))
            return msgspec.structs.replace(files, **changes)

        return files_of

    return replacement


def noting(digest, name, call):
    """A file operation that is digested with its arguments."""

    def noted(*arguments):
        digest.add(name, *(bytes(a) if isinstance(a, memoryview | bytearray) else a for a in arguments))
        return call(*arguments)

    return noted


def core_run(seed):
    """A storm of the daemons' core."""
    digest = Digest()
    with (
        patched(worlds, "send", watched_send(digest)),
        patched(worlds, "perform", watched_perform(digest)),
    ):
        storms.play(seed, 2, 3, 2, gap_ms=1200, storm_ms=9000)
    return digest.text()


def whole_run(seed):
    """A storm of the whole path of the own interface."""
    digest = Digest()
    with (
        patched(wires.Wire, "write", watched_write(digest)),
        patched(drives, "files_of", watched_files(digest)),
    ):
        whole.play(seed, storm_ms=4000)
    return digest.text()


def fleet_run(seed, shape):
    """A day of a deployment on the users' machines."""
    digest = Digest()
    with (
        patched(wires.Wire, "write", watched_write(digest)),
        patched(drives, "files_of", watched_files(digest)),
    ):
        days.play(seed, SHAPES[shape], storm_ms=5000, gap_ms=1500)
    return digest.text()


KINDS = {"core": core_run, "whole": whole_run, "fleet": fleet_run}
# Played in CI; the others by hand with the command above.
SLICE = ("core/1", "core/2", "whole/3", "fleet/1/three", "fleet/2/spare")
RUNS = (
    *(f"core/{seed}" for seed in range(1, 13)),
    *(f"whole/{seed}" for seed in range(3, 7)),
    *(f"fleet/{seed}/{shape}" for seed, shape in enumerate(("three", "spare", *SHAPES), 1)),
)


def fingerprint(run):
    """The digest of one run by its name: kind, seed and, for fleets, shape."""
    kind, seed, *shape = run.split("/")
    return KINDS[kind](int(seed), *shape)


def recorded():
    """The recorded digests by run."""
    return msgspec.json.decode(RECORDED.read_bytes(), type=dict[str, str])


def compare(runs, record):
    """Play runs and compare them with the recorded ones, or record them; status 1 if one differs."""
    with ProcessPoolExecutor(WORKERS) as pool:
        found = dict(zip(runs, pool.map(fingerprint, runs), strict=True))
    if record:
        RECORDED.write_bytes(msgspec.json.format(msgspec.json.encode(found), indent=2) + b"\n")
        return 0
    known = recorded()
    different = [run for run in runs if known.get(run) != found[run]]
    for run in different:
        print(f"{run}: recorded {known.get(run)}, now {found[run]}")
    print(f"{len(runs) - len(different)} of {len(runs)} runs as recorded")
    return 1 if different else 0


def main(arguments):
    """Run the command line; -> the exit status."""
    runs = [argument for argument in arguments if argument != "--record"] or RUNS
    return compare(runs, "--record" in arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
