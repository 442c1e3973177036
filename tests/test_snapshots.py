"""Snapshots encoded and decoded in slices are the same as those done in one go."""

from random import Random

import pytest
from msgspec import Raw, msgpack
from test_cluster_replica_daemon import MEMORY, new_house

from frostpost.cluster import replica_daemon
from frostpost.daemon import event_loop, snapshotting
from frostpost.daemon.core import SnapshotSlice
from frostpost.ledger import snapshots
from frostpost.ledger.apply import decode_state, encode
from frostpost.ledger.entities import ConfigVersion
from frostpost.ledger.state import Ledger
from frostpost.program_ledger.state import Account, OperationKey, ProgramLedger, Turn
from frostpost.virtual_synchrony.endpoints import Member
from frostpost.virtual_synchrony.events import SnapshotReceived


def ledger_of(turns):
    random = Random(1)
    names = [f"turn{n}.{random.randrange(1 << 30)}" for n in range(turns)]
    inner = ProgramLedger(
        turns={n: Turn("p", "", random.randrange(1 << 40), "r", 7) for n in names},
        accounts={n: Account(random.randrange(1 << 40)) for n in names[: turns // 2]},
        keys={n: OperationKey(n, 5, b"x" * random.randrange(300)) for n in names[:3]},
        expiries=[(n, "turn", name) for n, name in enumerate(names)],
        routing_version=9,
    )
    sessions = {n: (random.randrange(1 << 50), 3) for n in names[: turns // 3]}
    past = {"a": [ConfigVersion(1, "d", 2, "s", 3, 4)]}
    return Ledger(7, 8, (Member("s1", 3),), sessions=sessions, past=past, program_ledger=inner)


@pytest.mark.parametrize("turns", (0, 1, 15, 16, 17, 100, 1000))
@pytest.mark.parametrize("slice_records", (1, 15, 16, 17, 400))
def test_a_snapshot_in_slices_is_read_by_any_reader(turns, slice_records):
    ledger = ledger_of(turns)
    state = snapshots.run_to_completion(snapshots.encode_in_slices(ledger, slice_records))
    assert decode_state(state) == ledger
    assert snapshots.run_to_completion(snapshots.decode_in_slices(state)) == ledger


@pytest.mark.parametrize("slice_records", (1, 50))
def test_a_slice_never_holds_more_records_than_asked_for(slice_records, monkeypatch):
    most = []
    real = snapshots.header_bytes
    monkeypatch.setattr(snapshots, "header_bytes", lambda count: most.append(count) or real(count))
    snapshots.run_to_completion(snapshots.encode_in_slices(ledger_of(300), slice_records))
    assert max(most) == slice_records


def test_a_snapshot_of_an_earlier_build_is_read():
    """Field names in snapshots stay as they were, whatever the fields are called in the code."""
    state = msgpack.encode(
        {
            "index": 5,
            "clockMs": 6,
            "configIndex": 7,
            "voters": ["s1"],
            "coppice": Raw(encode(ProgramLedger(routing_version=4))),
        }
    )
    ledger = snapshots.run_to_completion(snapshots.decode_in_slices(state))
    assert (ledger.index, ledger.clock_ms, ledger.config_index, ledger.voters) == (5, 6, 7, ("s1",))
    assert ledger.program_ledger.routing_version == 4


def test_the_event_loop_runs_between_two_slices(monkeypatch):
    house, _, _ = new_house(monkeypatch, (MEMORY,))
    replica_daemon.start(house)
    ctx, slices = house.ctx, []
    received = SnapshotReceived(ctx.core.synchrony.configuration.id, 1, b"", "")

    def work():
        for number in range(5):
            slices.append(number)
            yield

    ctx.core.snapshots.loading = snapshotting.SnapshotDecoding(received, work())
    event_loop.feed_input(ctx, SnapshotSlice(0))
    house.reactor.callLater(0, slices.append, "another call")
    house.reactor.advance(0)
    assert slices == [0, 1, "another call", 2, 3, 4]
    assert ctx.core.snapshots.loading is None and not ctx.slicing
