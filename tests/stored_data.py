"""Disks of a deployment as the build before the renames left them, and what they hold: later builds must read them.

A small deployment on the users' machines founds itself, takes turns, keyed requests and changes of its configuration,
writes snapshots, and is killed. The files of its machines are kept in `data/stored_disks.msgpack.gz` with a summary of
the state that they were written from.

    PYTHONPATH=tests python -m stored_data --record    record anew; only for a new format, beside the old recording
"""

import gzip
import sys
from contextlib import contextmanager
from pathlib import Path
from random import Random

from fleet_simulator import cuts, stage
from fleet_simulator import world as worlds
from msgspec import Struct, msgpack

from frostpost.cluster import replica_context as replicas
from frostpost.simulator import simulated_disk

RECORDED = Path(__file__).parent / "data" / "stored_disks.msgpack.gz"
SEED, CHANGES, SNAPSHOT_ENTRIES, TRAFFIC_MS = 5, 12, 150, 6000


class Summary(Struct):
    """What the replicas agreed on, by the ids that clients and operators know."""

    index: int
    voters: list[str]
    routing_version: int
    routing_body: bytes
    turns: list[str]
    accounts: dict[str, tuple[int, int]]
    keys: dict[str, bytes]
    bodies: dict[str, int]


class StoredDisks(Struct):
    """The files of each machine by path, and the summary."""

    files: dict[str, dict[str, bytes]]
    summary: Summary


def summarize(world):
    """The state of the deployment's most advanced replica, and how many bytes of bodies each turn has."""
    replicas_up = [d.owner for d in world.of("storage") if d.owner is not None]
    ledger = max((r.ctx.core.ledger for r in replicas_up), key=lambda ledger: ledger.index)
    programs, bodies = ledger.program_ledger, {}
    for replica in replicas_up:
        for turn, (_, _, length) in replica.turn_store.index.items():
            bodies[turn] = length
    return Summary(
        ledger.index,
        sorted(ledger.voters),
        programs.routing_version,
        programs.routing_body,
        sorted(programs.turns),
        {name: (account.budget, account.spent) for name, account in sorted(programs.accounts.items())},
        {name: key.answer for name, key in sorted(programs.keys.items()) if key.answered},
        dict(sorted(bodies.items())),
    )


@contextmanager
def snapshots_after(entries):
    """Let replicas write a snapshot after so few entries of their log."""
    usual, replicas.LOG_ENTRIES = replicas.LOG_ENTRIES, entries
    try:
        yield
    finally:
        replicas.LOG_ENTRIES = usual


def record():
    """Play the deployment, kill it and keep its disks."""
    with snapshots_after(SNAPSHOT_ENTRIES):
        world, operators, status, _ = stage.open_(SEED)
        assert status == 200
        crowd, issue = stage.crowd_of(world, "stored"), 3
        crowd.arrive(world.now_ms() + TRAFFIC_MS, 120)
        for _ in range(CHANGES):
            version = cuts.replacement(world, issue + 2, issue)
            change = operators[0].change(version, "Replace", version.document, world.now_ms() + 5000)
            assert stage.await_(world, change, 6000) == 200
            issue = version.issue
            world.run(world.now_ms() + TRAFFIC_MS / CHANGES)
        world.run(world.now_ms() + 8000)
    summary = summarize(world)
    RECORDED.write_bytes(gzip.compress(msgpack.encode(StoredDisks(disks_of(world), summary)), mtime=0))


def disks_of(world):
    """Kill all daemons; the files of each by path."""
    for daemon in world.daemons.values():
        worlds.kill(world, daemon)
    return {
        daemon.name: {path: bytes(sheet.data) for path, sheet in daemon.disk.names.items()}
        for daemon in world.daemons.values()
    }


def load():
    """The recorded disks."""
    return msgpack.decode(gzip.decompress(RECORDED.read_bytes()), type=StoredDisks)


def restarted(stored):
    """A deployment of the same machines, started from the recorded disks."""
    world = worlds.make(SEED)
    for name, daemon in world.daemons.items():
        sheets = {
            path: simulated_disk.SimulatedFile(bytearray(data), len(data)) for path, data in stored.files[name].items()
        }
        daemon.disk.names, daemon.disk.durable_names, daemon.first = sheets, dict(sheets), False
    start_times = Random(1)
    for daemon in list(world.daemons.values()):
        world.later(start_times.uniform(0, 300), worlds.start, world, daemon)
    return world


if __name__ == "__main__":
    if sys.argv[1:] == ["--record"]:
        record()
    else:
        print({name: {p: len(d) for p, d in files.items()} for name, files in load().files.items()})
