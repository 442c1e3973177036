"""Disks that an earlier build wrote: this one opens them, knows what they hold, and writes on."""

import pytest
import stored_data
from fleet_simulator import cuts, stage
from msgspec import msgpack, structs

from frostpost.program_ledger.apply import apply_operation
from frostpost.program_ledger.ids import hosted_key, tenant_key
from frostpost.program_ledger.key_messages import ClaimOperationKey, KeyAnswered
from frostpost.virtual_synchrony.events import EntryRecord, Record, SnapshotRecord
from frostpost.write_ahead_log import records

STARTED_MS, SERVING_MS = 350, 6000
WINDOW_MS = 8000


@pytest.fixture(scope="module")
def stored():
    return stored_data.load()


def records_of(data):
    found = []
    records.scan(lambda offset, length: data[offset : offset + length], len(data), found.append)
    return found


def test_the_recording_has_a_snapshot_entries_bodies_and_a_charter(stored):
    files = stored.files["storage-z0-1"]
    decode = msgpack.Decoder(Record).decode
    kinds = [type(decode(r.payload)) for r in records_of(files["/storage-z0-1/log"])]
    assert SnapshotRecord in kinds and EntryRecord in kinds
    assert records_of(files["/storage-z0-1/silo/00000001"])
    assert records_of(stored.files["core-z0-1"]["/core-z0-1/charter"])
    assert len(stored.summary.turns) > 100 and len(stored.summary.keys) > 10


def test_each_replica_knows_what_its_disk_holds(stored):
    world = stored_data.restarted(stored)
    world.run(STARTED_MS)
    assert [d.owner is not None and d.owner.ctx.core is not None for d in world.of("storage")] == [True] * 3
    found = stored_data.summarize(world)
    assert found.index >= stored.summary.index
    keys = {tenant_key(name): answer for name, answer in stored.summary.keys.items()}
    assert len(keys) == len(stored.summary.keys)
    assert structs.replace(found, index=stored.summary.index) == structs.replace(stored.summary, keys=keys)


def test_keys_stored_by_a_build_that_kept_them_by_host_are_answered_at_any_host(stored):
    """Guards against review/4 through a restart with this build on the disks of an earlier one."""
    world = stored_data.restarted(stored)
    world.run(STARTED_MS)
    for daemon in world.of("storage"):
        ledger = daemon.owner.ctx.core.ledger
        for name, answer in stored.summary.keys.items():
            claim = ClaimOperationKey(hosted_key("elsewhere.example", tenant_key(name)), "later", WINDOW_MS)
            result = apply_operation(ledger.program_ledger, ledger.clock_ms, (), (), claim, ledger.rules)
            assert result == KeyAnswered(answer)


def test_the_deployment_serves_and_takes_changes_on_top_of_what_is_stored(stored):
    world = stored_data.restarted(stored)
    world.run(SERVING_MS)
    assert all(stage.ready(world, daemon) for daemon in world.of("edge"))
    operator = stage.operator_of(world, "later")
    base = stored.summary.routing_version
    version = cuts.replacement(world, base + 2, base)
    change = operator.change(version, "Replace", version.document, world.now_ms() + 5000)
    assert stage.await_(world, change, 6000) == 200
    after = stored_data.summarize(world)
    assert after.index > stored.summary.index and after.routing_version == base + 2
    assert after.turns == stored.summary.turns and after.bodies == stored.summary.bodies
    again = stored_data.restarted(stored_data.StoredDisks(stored_data.disks_of(world), after))
    again.run(STARTED_MS)
    assert stored_data.summarize(again).routing_version == base + 2
