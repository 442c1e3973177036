from test_turn_store_drive import FOLDER, Threads, lose_unsynced, new_drive, open_store, results_of
from twisted.internet.task import Clock

from frostpost.turn_store import store
from frostpost.turn_store.segments import encode
from frostpost.write_ahead_log.log import Corrupt, SyncLostError, Torn
from frostpost.write_ahead_log.records import HEADER

FIRST_SEGMENT = f"{FOLDER}/00000001"
SYNC_MARK_BYTES = HEADER.size
PUT_BYTES = HEADER.size + len(encode(("a", b"a" * 10))) + SYNC_MARK_BYTES


def open_filled_store(drive, clock, turns, **options):
    turn_store = open_store(drive, clock, **options)
    for turn in turns:
        assert results_of(store.put(turn_store, turn, turn.encode() * 10)) == [True]
    return turn_store


def test_bodies_are_readable_before_and_after_a_power_failure():
    drive, clock = new_drive(), Clock()
    turn_store = open_filled_store(drive, clock, "abc")
    assert [store.get(turn_store, turn) for turn in "abcd"] == [b"a" * 10, b"b" * 10, b"c" * 10, None]
    lose_unsynced(drive)
    reopened = open_store(drive, clock)
    assert [store.get(reopened, turn) for turn in "abcd"] == [b"a" * 10, b"b" * 10, b"c" * 10, None]


def test_torn_tail_is_truncated_and_reported_and_writing_resumes():
    drive, clock, errors = new_drive(), Clock(), []
    open_filled_store(drive, clock, "abc")
    del drive.names[FIRST_SEGMENT].data[-3 - SYNC_MARK_BYTES :]
    turn_store = open_store(drive, clock, errors=errors)
    assert isinstance(errors[0], Torn) and set(turn_store.index) == {"a", "b"}
    assert results_of(store.put(turn_store, "c", b"new")) == [True]
    assert store.get(open_store(drive, clock), "c") == b"new"


def test_corrupt_segment_is_moved_aside_and_reported_and_the_others_stay_readable():
    drive, clock, errors = new_drive(), Clock(), []
    open_filled_store(drive, clock, "abcdef", segment_bytes=2 * PUT_BYTES)
    drive.names[FIRST_SEGMENT].data[25] ^= 0x5A
    turn_store = open_store(drive, clock, errors=errors, segment_bytes=64)
    assert [type(e) for e in errors] == [Corrupt] and errors[0].moved_to in drive.names
    assert "a" not in turn_store.index and store.get(turn_store, "f") == b"f" * 10


def test_wiped_disk_opens_empty():
    drive, clock, errors = new_drive(), Clock(), []
    open_filled_store(drive, clock, "abc")
    drive.names, drive.lasting, drive.held = {}, {}, {}
    turn_store = open_store(drive, clock, errors=errors)
    assert turn_store.index == {} and errors == [] and store.get(turn_store, "a") is None


def test_queued_puts_share_one_sync_and_none_is_acknowledged_before_it():
    drive, clock, threads = new_drive(), Clock(), Threads()
    turn_store = open_store(drive, clock, threads)
    threads.is_paused = True
    first = results_of(store.put(turn_store, "a", b"1"))
    rest = [results_of(store.put(turn_store, turn, b"2")) for turn in "bcd"]
    assert first == [] and len(threads.jobs) == 1 and not store.is_stored(turn_store, "a")
    threads.finish()
    assert first == [True] and rest == [[], [], []]
    syncs = drive.syncs
    threads.finish()
    assert rest == [[True]] * 3 and drive.syncs == syncs + 1


def test_crash_before_the_sync_loses_only_unacknowledged_bodies():
    drive, clock, threads = new_drive(), Clock(), Threads()
    turn_store = open_filled_store(drive, clock, "a")
    turn_store.machine = open_store(drive, clock, threads).machine
    threads.is_paused = True
    results = results_of(store.put(turn_store, "b", b"2"))
    lose_unsynced(drive)
    assert results == [] and set(open_store(drive, clock).index) == {"a"}


def test_duplicate_put_is_acknowledged_without_writing_again():
    drive, clock, threads = new_drive(), Clock(), Threads()
    turn_store = open_store(drive, clock, threads)
    threads.is_paused = True
    results = [results_of(store.put(turn_store, "a", b"1")) for _ in range(2)]
    threads.finish()
    size = len(drive.names[FIRST_SEGMENT].data)
    assert results == [[True], [True]] and threads.jobs == []
    assert results_of(store.put(turn_store, "a", b"1")) == [True] and len(drive.names[FIRST_SEGMENT].data) == size


def test_failed_write_fails_the_put_and_the_next_put_succeeds():
    drive, clock, errors = new_drive(), Clock(), []
    turn_store = open_filled_store(drive, clock, "a")
    turn_store.on_error = errors.append
    drive.broken["write"] = 1
    assert results_of(store.put(turn_store, "b", b"2")) == [False]
    assert isinstance(errors[0], OSError) and not isinstance(errors[0], SyncLostError)
    assert results_of(store.put(turn_store, "b", b"2")) == [True]
    assert set(open_store(drive, clock).index) == {"a", "b"}


def test_failed_sync_is_reported_and_no_later_put_is_acknowledged():
    drive, clock, errors = new_drive(), Clock(), []
    turn_store = open_filled_store(drive, clock, "a")
    turn_store.on_error = errors.append
    drive.broken["sync"] = 1
    assert results_of(store.put(turn_store, "b", b"2")) == [False]
    assert isinstance(errors[0], SyncLostError)
    assert results_of(store.put(turn_store, "c", b"3")) == [False] == results_of(store.put(turn_store, "a", b"1"))


def test_body_with_a_wrong_checksum_is_not_returned_and_leaves_the_index():
    drive, clock = new_drive(), Clock()
    turn_store = open_filled_store(drive, clock, "ab")
    drive.names[FIRST_SEGMENT].data[-1 - SYNC_MARK_BYTES] ^= 0x5A
    assert (
        store.get(turn_store, "b") is None and not store.is_stored(turn_store, "b") and store.is_stored(turn_store, "a")
    )


def test_expiry_waits_for_the_minimum_age_and_removes_segments_without_live_turns():
    drive, clock = new_drive(), Clock()
    turn_store = open_filled_store(drive, clock, "abcdef", segment_bytes=2 * PUT_BYTES)
    segments = [p for p in drive.names if p.startswith(FOLDER)]
    assert len(segments) == 3
    clock.advance(100)
    assert store.expire(turn_store, lambda turn: False) == 0
    clock.advance(30)
    assert store.expire(turn_store, lambda turn: turn == "d") == 5
    assert [p for p in drive.names if p.startswith(FOLDER)] == segments[1:]
    assert store.get(turn_store, "d") == b"d" * 10 and store.get(turn_store, "f") is None
    assert results_of(store.put(turn_store, "g", b"7")) == [True] and store.get(turn_store, "g") == b"7"


def test_expiry_during_a_batch_keeps_the_segments_being_written():
    drive, clock, threads = new_drive(), Clock(), Threads()
    turn_store = open_store(drive, clock, threads, segment_bytes=64)
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
    drive, clock = new_drive(), Clock()
    turn_store = open_filled_store(
        drive, clock, "abcdef", segment_bytes=2 * PUT_BYTES, max_disk_bytes=6 * PUT_BYTES + 22
    )
    assert results_of(store.put(turn_store, "g", b"7" * 50)) == [False] and not store.has_capacity(turn_store, 50)
    clock.advance(130)
    store.expire(turn_store, lambda turn: turn in "ae")
    assert results_of(store.put(turn_store, "g", b"7" * 50)) == [True]
    assert store.get(turn_store, "a") == b"a" * 10 and store.get(turn_store, "e") == b"e" * 10


def test_sparse_segments_are_compacted_when_the_disk_fills():
    drive, clock = new_drive(), Clock()
    turn_store = open_filled_store(drive, clock, "abcdefgh", segment_bytes=4 * PUT_BYTES, max_disk_bytes=12 * PUT_BYTES)
    clock.advance(130)
    store.expire(turn_store, lambda turn: turn in "ah")
    store.expire(turn_store, lambda turn: turn in "ah")
    assert FIRST_SEGMENT not in drive.names and store.get(turn_store, "a") == b"a" * 10
    lose_unsynced(drive)
    assert store.get(open_store(drive, clock), "a") == b"a" * 10
