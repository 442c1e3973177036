"""Snapshots are encoded and decoded in slices, compatibly with earlier builds and without blocking the event loop."""

from random import Random

import pytest
from msgspec import Raw, msgpack
from test_cluster_replica_daemon import CONFIGURATION_RECORD, new_replica

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


def make_ledger(number_of_turns):
    random = Random(1)
    names = [f"turn{n}.{random.randrange(1 << 30)}" for n in range(number_of_turns)]
    program_ledger = ProgramLedger(
        turns={n: Turn("p", "", random.randrange(1 << 40), "r", 7) for n in names},
        accounts={n: Account(random.randrange(1 << 40)) for n in names[: number_of_turns // 2]},
        keys={n: OperationKey(n, 5, b"x" * random.randrange(300)) for n in names[:3]},
        expiries=[(n, "turn", name) for n, name in enumerate(names)],
        routing_version=9,
    )
    sessions = {n: (random.randrange(1 << 50), 3) for n in names[: number_of_turns // 3]}
    past = {"a": [ConfigVersion(1, "d", 2, "s", 3, 4)]}
    return Ledger(7, 8, (Member("s1", 3),), sessions=sessions, past=past, program_ledger=program_ledger)


@pytest.mark.parametrize("number_of_turns", (0, 1, 15, 16, 17, 100, 1000))
@pytest.mark.parametrize("slice_records", (1, 15, 16, 17, 400))
def test_snapshot_encoded_in_slices_is_decoded_with_and_without_slices(number_of_turns, slice_records):
    ledger = make_ledger(number_of_turns)
    state = snapshots.run_to_completion(snapshots.encode_in_slices(ledger, slice_records))
    assert decode_state(state) == ledger
    assert snapshots.run_to_completion(snapshots.decode_in_slices(state)) == ledger


@pytest.mark.parametrize("slice_records", (1, 50))
def test_slice_has_at_most_the_requested_number_of_records(slice_records, monkeypatch):
    counts = []
    header_bytes = snapshots.header_bytes
    monkeypatch.setattr(snapshots, "header_bytes", lambda count: counts.append(count) or header_bytes(count))
    snapshots.run_to_completion(snapshots.encode_in_slices(make_ledger(300), slice_records))
    assert max(counts) == slice_records


def test_snapshot_of_earlier_build_is_decoded():
    """Names of fields in stored snapshots are independent of their names in the code."""
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


def test_other_events_run_between_slices(monkeypatch):
    replica, _, _ = new_replica(monkeypatch, (CONFIGURATION_RECORD,))
    replica_daemon.start(replica)
    ctx, slices = replica.ctx, []
    received = SnapshotReceived(ctx.core.synchrony.configuration.id, 1, b"", "")

    def load_slices():
        for number in range(5):
            slices.append(number)
            yield

    ctx.core.snapshots.loading = snapshotting.SnapshotDecoding(received, load_slices())
    event_loop.feed_input(ctx, SnapshotSlice(0))
    replica.reactor.callLater(0, slices.append, "another event")
    replica.reactor.advance(0)
    assert slices == [0, 1, "another event", 2, 3, 4]
    assert ctx.core.snapshots.loading is None and not ctx.slice_scheduled
