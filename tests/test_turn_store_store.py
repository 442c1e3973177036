from test_turn_store_disk import FOLDER, Threads, lose_unsynced, new_disk, open_store, results_of
from twisted.internet.task import Clock

from frostpost.turn_store import store
from frostpost.turn_store.segments import encode
from frostpost.write_ahead_log.log import Corrupt, SyncLostError, Torn
from frostpost.write_ahead_log.records import HEADER

FIRST_SEGMENT = f"{FOLDER}/00000001"
SYNC_MARK_BYTES = HEADER.size
PUT_BYTES = HEADER.size + len(encode(("a", b"a" * 10))) + SYNC_MARK_BYTES


def open_filled_store(disk, clock, turns, **options):
    turn_store = open_store(disk, clock, **options)
    for turn in turns:
        assert results_of(store.put(turn_store, turn, turn.encode() * 10)) == [True]
    return turn_store


def test_bodies_are_readable_before_and_after_a_power_failure():
    disk, clock = new_disk(), Clock()
    turn_store = open_filled_store(disk, clock, "abc")
    assert [store.get(turn_store, turn) for turn in "abcd"] == [b"a" * 10, b"b" * 10, b"c" * 10, None]
    lose_unsynced(disk)
    reopened = open_store(disk, clock)
    assert [store.get(reopened, turn) for turn in "abcd"] == [b"a" * 10, b"b" * 10, b"c" * 10, None]


def test_torn_tail_is_truncated_and_reported_and_writing_resumes():
    disk, clock, errors = new_disk(), Clock(), []
    open_filled_store(disk, clock, "abc")
    del disk.names[FIRST_SEGMENT].data[-3 - SYNC_MARK_BYTES :]
    turn_store = open_store(disk, clock, errors=errors)
    assert isinstance(errors[0], Torn) and set(turn_store.index) == {"a", "b"}
    assert results_of(store.put(turn_store, "c", b"new")) == [True]
    assert store.get(open_store(disk, clock), "c") == b"new"


def test_corrupt_segment_is_moved_aside_and_reported_and_the_others_stay_readable():
    disk, clock, errors = new_disk(), Clock(), []
    open_filled_store(disk, clock, "abcdef", segment_bytes=2 * PUT_BYTES)
    disk.names[FIRST_SEGMENT].data[25] ^= 0x5A
    turn_store = open_store(disk, clock, errors=errors, segment_bytes=64)
    assert [type(e) for e in errors] == [Corrupt] and errors[0].moved_to in disk.names
    assert "a" not in turn_store.index and store.get(turn_store, "f") == b"f" * 10


def test_wiped_disk_opens_empty():
    disk, clock, errors = new_disk(), Clock(), []
    open_filled_store(disk, clock, "abc")
    disk.names, disk.durable_names, disk.handles = {}, {}, {}
    turn_store = open_store(disk, clock, errors=errors)
    assert turn_store.index == {} and errors == [] and store.get(turn_store, "a") is None


def test_queued_puts_share_one_sync_and_none_is_acknowledged_before_it():
    disk, clock, threads = new_disk(), Clock(), Threads()
    turn_store = open_store(disk, clock, threads)
    threads.is_paused = True
    first = results_of(store.put(turn_store, "a", b"1"))
    rest = [results_of(store.put(turn_store, turn, b"2")) for turn in "bcd"]
    assert first == [] and len(threads.jobs) == 1 and not store.is_stored(turn_store, "a")
    threads.finish()
    assert first == [True] and rest == [[], [], []]
    syncs = disk.sync_count
    threads.finish()
    assert rest == [[True]] * 3 and disk.sync_count == syncs + 1


def test_crash_before_the_sync_loses_only_unacknowledged_bodies():
    disk, clock, threads = new_disk(), Clock(), Threads()
    turn_store = open_filled_store(disk, clock, "a")
    turn_store.machine = open_store(disk, clock, threads).machine
    threads.is_paused = True
    results = results_of(store.put(turn_store, "b", b"2"))
    lose_unsynced(disk)
    assert results == [] and set(open_store(disk, clock).index) == {"a"}


def test_duplicate_put_is_acknowledged_without_writing_again():
    disk, clock, threads = new_disk(), Clock(), Threads()
    turn_store = open_store(disk, clock, threads)
    threads.is_paused = True
    results = [results_of(store.put(turn_store, "a", b"1")) for _ in range(2)]
    threads.finish()
    size = len(disk.names[FIRST_SEGMENT].data)
    assert results == [[True], [True]] and threads.jobs == []
    assert results_of(store.put(turn_store, "a", b"1")) == [True] and len(disk.names[FIRST_SEGMENT].data) == size


def test_failed_write_fails_the_put_and_the_next_put_succeeds():
    disk, clock, errors = new_disk(), Clock(), []
    turn_store = open_filled_store(disk, clock, "a")
    turn_store.on_error = errors.append
    disk.failing["write"] = 1
    assert results_of(store.put(turn_store, "b", b"2")) == [False]
    assert isinstance(errors[0], OSError) and not isinstance(errors[0], SyncLostError)
    assert results_of(store.put(turn_store, "b", b"2")) == [True]
    assert set(open_store(disk, clock).index) == {"a", "b"}


def test_failed_sync_is_reported_and_no_later_put_is_acknowledged():
    disk, clock, errors = new_disk(), Clock(), []
    turn_store = open_filled_store(disk, clock, "a")
    turn_store.on_error = errors.append
    disk.failing["sync"] = 1
    assert results_of(store.put(turn_store, "b", b"2")) == [False]
    assert isinstance(errors[0], SyncLostError)
    assert results_of(store.put(turn_store, "c", b"3")) == [False] == results_of(store.put(turn_store, "a", b"1"))


def test_body_with_a_wrong_checksum_is_not_returned_and_leaves_the_index():
    disk, clock = new_disk(), Clock()
    turn_store = open_filled_store(disk, clock, "ab")
    disk.names[FIRST_SEGMENT].data[-1 - SYNC_MARK_BYTES] ^= 0x5A
    assert (
        store.get(turn_store, "b") is None and not store.is_stored(turn_store, "b") and store.is_stored(turn_store, "a")
    )


def test_expiry_waits_for_the_minimum_age_and_removes_segments_without_live_turns():
    disk, clock = new_disk(), Clock()
    turn_store = open_filled_store(disk, clock, "abcdef", segment_bytes=2 * PUT_BYTES)
    segments = [p for p in disk.names if p.startswith(FOLDER)]
    assert len(segments) == 3
    clock.advance(100)
    assert store.expire(turn_store, lambda turn: False) == 0
    clock.advance(30)
    assert store.expire(turn_store, lambda turn: turn == "d") == 5
    assert [p for p in disk.names if p.startswith(FOLDER)] == segments[1:]
    assert store.get(turn_store, "d") == b"d" * 10 and store.get(turn_store, "f") is None
    assert results_of(store.put(turn_store, "g", b"7")) == [True] and store.get(turn_store, "g") == b"7"


def test_expiry_during_a_batch_keeps_the_segments_being_written():
    disk, clock, threads = new_disk(), Clock(), Threads()
    turn_store = open_store(disk, clock, threads, segment_bytes=64)
    clock.advance(200)
    threads.is_paused = True
    results = [results_of(store.put(turn_store, turn, b"1" * 40)) for turn in "abc"]
    threads.finish()
    threads.finish()
    assert results == [[True]] * 3
    last = results_of(store.put(turn_store, "d", b"1" * 40))
    clock.advance(200)
    store.expire(turn_store, lambda turn: False)
    threads.finish()
    assert last == [True] and store.get(turn_store, "d") == b"1" * 40


def test_full_store_rejects_puts_until_expired_turns_are_removed():
    disk, clock = new_disk(), Clock()
    turn_store = open_filled_store(
        disk, clock, "abcdef", segment_bytes=2 * PUT_BYTES, max_disk_bytes=6 * PUT_BYTES + 22
    )
    assert results_of(store.put(turn_store, "g", b"7" * 50)) == [False] and not store.has_capacity(turn_store, 50)
    clock.advance(130)
    store.expire(turn_store, lambda turn: turn in "ae")
    assert results_of(store.put(turn_store, "g", b"7" * 50)) == [True]
    assert store.get(turn_store, "a") == b"a" * 10 and store.get(turn_store, "e") == b"e" * 10


def test_sparse_segments_are_compacted_when_the_disk_fills():
    disk, clock = new_disk(), Clock()
    turn_store = open_filled_store(disk, clock, "abcdefgh", segment_bytes=4 * PUT_BYTES, max_disk_bytes=12 * PUT_BYTES)
    clock.advance(130)
    store.expire(turn_store, lambda turn: turn in "ah")
    store.expire(turn_store, lambda turn: turn in "ah")
    assert FIRST_SEGMENT not in disk.names and store.get(turn_store, "a") == b"a" * 10
    lose_unsynced(disk)
    assert store.get(open_store(disk, clock), "a") == b"a" * 10
