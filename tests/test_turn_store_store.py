from test_turn_store_drive import FOLDER, Threads, lose_unsynced, new_drive, opened, outcome
from twisted.internet.task import Clock

from frostpost.turn_store import store
from frostpost.turn_store.segments import encode
from frostpost.write_ahead_log.log import Corrupt, SyncLostError, Torn
from frostpost.write_ahead_log.records import HEADER

FIRST = f"{FOLDER}/00000001"
MARK_BYTES = HEADER.size
PUT_BYTES = HEADER.size + len(encode(("a", b"a" * 10))) + MARK_BYTES


def filled(drive, clock, turns, **bounds):
    turn_store = opened(drive, clock, **bounds)
    for turn in turns:
        assert outcome(store.put(turn_store, turn, turn.encode() * 10)) == [True]
    return turn_store


def test_what_was_put_is_got_before_and_after_a_loss_of_power():
    drive, clock = new_drive(), Clock()
    turn_store = filled(drive, clock, "abc")
    assert [store.get(turn_store, t) for t in "abcd"] == [b"a" * 10, b"b" * 10, b"c" * 10, None]
    lose_unsynced(drive)
    again = opened(drive, clock)
    assert [store.get(again, t) for t in "abcd"] == [b"a" * 10, b"b" * 10, b"c" * 10, None]


def test_torn_tail_is_cut_off_and_told_and_writing_resumes():
    drive, clock, faults = new_drive(), Clock(), []
    filled(drive, clock, "abc")
    del drive.names[FIRST].data[-3 - MARK_BYTES :]
    turn_store = opened(drive, clock, faults=faults)
    assert isinstance(faults[0], Torn) and set(turn_store.index) == {"a", "b"}
    assert outcome(store.put(turn_store, "c", b"new")) == [True]
    assert store.get(opened(drive, clock), "c") == b"new"


def test_corrupt_segment_is_set_aside_and_told_and_the_others_serve():
    drive, clock, faults = new_drive(), Clock(), []
    filled(drive, clock, "abcdef", segment_bytes=2 * PUT_BYTES)
    drive.names[FIRST].data[25] ^= 0x5A
    turn_store = opened(drive, clock, faults=faults, segment_bytes=64)
    assert [type(f) for f in faults] == [Corrupt] and faults[0].moved_to in drive.names
    assert "a" not in turn_store.index and store.get(turn_store, "f") == b"f" * 10


def test_wiped_disk_opens_empty():
    drive, clock, faults = new_drive(), Clock(), []
    filled(drive, clock, "abc")
    drive.names, drive.lasting, drive.held = {}, {}, {}
    turn_store = opened(drive, clock, faults=faults)
    assert turn_store.index == {} and faults == [] and store.get(turn_store, "a") is None


def test_all_queued_puts_share_a_sync_and_none_is_acknowledged_before_it():
    drive, clock, threads = new_drive(), Clock(), Threads()
    turn_store = opened(drive, clock, threads)
    threads.held = True
    first = outcome(store.put(turn_store, "a", b"1"))
    rest = [outcome(store.put(turn_store, t, b"2")) for t in "bcd"]
    assert first == [] and len(threads.jobs) == 1 and not store.is_stored(turn_store, "a")
    threads.finish()
    assert first == [True] and rest == [[], [], []]
    syncs = drive.syncs
    threads.finish()
    assert rest == [[True]] * 3 and drive.syncs == syncs + 1


def test_crash_before_the_sync_loses_only_what_was_not_acknowledged():
    drive, clock, threads = new_drive(), Clock(), Threads()
    turn_store = filled(drive, clock, "a")
    turn_store.machine = opened(drive, clock, threads).machine
    threads.held = True
    waiting = outcome(store.put(turn_store, "b", b"2"))
    lose_unsynced(drive)
    assert waiting == [] and set(opened(drive, clock).index) == {"a"}


def test_duplicate_put_is_acknowledged_without_writing_again():
    drive, clock, threads = new_drive(), Clock(), Threads()
    turn_store = opened(drive, clock, threads)
    threads.held = True
    waiting = [outcome(store.put(turn_store, "a", b"1")) for _ in range(2)]
    threads.finish()
    size = len(drive.names[FIRST].data)
    assert waiting == [[True], [True]] and threads.jobs == []
    assert outcome(store.put(turn_store, "a", b"1")) == [True] and len(drive.names[FIRST].data) == size


def test_failed_write_is_answered_false_and_the_next_put_works():
    drive, clock, faults = new_drive(), Clock(), []
    turn_store = filled(drive, clock, "a")
    turn_store.tell = faults.append
    drive.broken["write"] = 1
    assert outcome(store.put(turn_store, "b", b"2")) == [False]
    assert isinstance(faults[0], OSError) and not isinstance(faults[0], SyncLostError)
    assert outcome(store.put(turn_store, "b", b"2")) == [True]
    assert set(opened(drive, clock).index) == {"a", "b"}


def test_lost_sync_is_told_and_nothing_is_acknowledged_after_it():
    drive, clock, faults = new_drive(), Clock(), []
    turn_store = filled(drive, clock, "a")
    turn_store.tell = faults.append
    drive.broken["sync"] = 1
    assert outcome(store.put(turn_store, "b", b"2")) == [False]
    assert isinstance(faults[0], SyncLostError)
    assert outcome(store.put(turn_store, "c", b"3")) == [False] == outcome(store.put(turn_store, "a", b"1"))


def test_rotted_body_is_not_served_and_no_longer_held():
    drive, clock = new_drive(), Clock()
    turn_store = filled(drive, clock, "ab")
    drive.names[FIRST].data[-1 - MARK_BYTES] ^= 0x5A
    assert (
        store.get(turn_store, "b") is None and not store.is_stored(turn_store, "b") and store.is_stored(turn_store, "a")
    )


def test_expiry_waits_for_the_age_and_removes_segments_without_live_turns():
    drive, clock = new_drive(), Clock()
    turn_store = filled(drive, clock, "abcdef", segment_bytes=2 * PUT_BYTES)
    segments = [p for p in drive.names if p.startswith(FOLDER)]
    assert len(segments) == 3
    clock.advance(100)
    assert store.expire(turn_store, lambda turn: False) == 0
    clock.advance(30)
    assert store.expire(turn_store, lambda turn: turn == "d") == 5
    assert [p for p in drive.names if p.startswith(FOLDER)] == segments[1:]
    assert store.get(turn_store, "d") == b"d" * 10 and store.get(turn_store, "f") is None
    assert outcome(store.put(turn_store, "g", b"7")) == [True] and store.get(turn_store, "g") == b"7"


def test_expiry_under_a_batch_leaves_the_segments_that_it_writes():
    drive, clock, threads = new_drive(), Clock(), Threads()
    turn_store = opened(drive, clock, threads, segment_bytes=64)
    clock.advance(200)
    threads.held = True
    waiting = [outcome(store.put(turn_store, t, b"1" * 40)) for t in "abc"]
    threads.finish()
    threads.finish()
    assert waiting == [[True]] * 3
    more = outcome(store.put(turn_store, "d", b"1" * 40))
    clock.advance(200)
    store.expire(turn_store, lambda turn: False)
    threads.finish()
    assert more == [True] and store.get(turn_store, "d") == b"1" * 40


def test_full_silo_takes_nothing_until_dead_turns_are_gone():
    drive, clock = new_drive(), Clock()
    turn_store = filled(drive, clock, "abcdef", segment_bytes=2 * PUT_BYTES, disk_bytes=6 * PUT_BYTES + 22)
    assert outcome(store.put(turn_store, "g", b"7" * 50)) == [False] and not store.has_capacity(turn_store, 50)
    clock.advance(130)
    store.expire(turn_store, lambda turn: turn in "ae")
    assert outcome(store.put(turn_store, "g", b"7" * 50)) == [True]
    assert store.get(turn_store, "a") == b"a" * 10 and store.get(turn_store, "e") == b"e" * 10


def test_sparse_segments_are_moved_together_when_the_disk_fills():
    drive, clock = new_drive(), Clock()
    turn_store = filled(drive, clock, "abcdefgh", segment_bytes=4 * PUT_BYTES, disk_bytes=12 * PUT_BYTES)
    clock.advance(130)
    store.expire(turn_store, lambda turn: turn in "ah")
    store.expire(turn_store, lambda turn: turn in "ah")
    assert FIRST not in drive.names and store.get(turn_store, "a") == b"a" * 10
    lose_unsynced(drive)
    assert store.get(opened(drive, clock), "a") == b"a" * 10
