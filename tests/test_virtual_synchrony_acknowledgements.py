"""The safe watermark, computed from the acknowledged, received and synced watermarks of the members."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import msgpack

from frostpost.virtual_synchrony import acknowledgements
from frostpost.virtual_synchrony.bounds import Bounds
from frostpost.virtual_synchrony.configuration import Configuration, ConfigurationId, Entry
from frostpost.virtual_synchrony.durable_log import DurableLog
from frostpost.virtual_synchrony.endpoints import Endpoint, Member
from frostpost.virtual_synchrony.events import Output, SetVoters
from frostpost.virtual_synchrony.messages import BatchAck, SafeUpdate
from frostpost.virtual_synchrony.quorum import majority_watermark
from frostpost.virtual_synchrony.state import create_synchrony

NAMES = ("s1", "s2", "s3", "s4")
ID = ConfigurationId(2, "s1", 1)


@pytest.fixture
def sequencer():
    """The sequencer s1 of four members in an open primary, of which s1 to s3 are voters."""
    endpoint = Endpoint(Member("s1", 1), "storage", "z", "h", 1, 0)
    synchrony, _ = create_synchrony(endpoint, Bounds(), (), NAMES[:3], DurableLog(), 0)
    synchrony.configuration = Configuration(ID, tuple(Member(name, 1) for name in NAMES), "s1")
    synchrony.primary.eligible = synchrony.primary.opened = True
    synchrony.primary.voters = synchrony.voters = NAMES[:3]
    return synchrony


def safe_after(synchrony, acks):
    """Return the safe watermark that the sequencer announces after these acknowledgements, given by member."""
    out = Output()
    for name, (acknowledged, received, synced) in acks.items():
        acknowledgements.on_batch_ack(synchrony, out, name, BatchAck(ID, acknowledged, received, synced))
    return max((body.safe_watermark for _, body in out.sends if isinstance(body, SafeUpdate)), default=0)


def test_entries_acknowledged_by_all_members_are_safe(sequencer):
    assert safe_after(sequencer, dict.fromkeys(NAMES, (5, 5, 5))) == 5


def test_acknowledgements_of_the_previous_release_suffice_alone(sequencer):
    assert safe_after(sequencer, dict.fromkeys(NAMES, (5, 0, 0))) == 5


def test_slow_voter_that_has_received_entries_delays_nothing(sequencer):
    assert safe_after(sequencer, {"s1": (7, 7, 7), "s2": (7, 7, 7), "s4": (7, 7, 0), "s3": (2, 7, 2)}) == 7


def test_entry_not_received_by_some_member_is_not_safe(sequencer):
    assert safe_after(sequencer, {"s1": (7, 7, 7), "s2": (7, 7, 7), "s3": (7, 7, 7), "s4": (3, 4, 0)}) == 4


def test_receipts_without_syncs_of_a_majority_do_not_suffice(sequencer):
    assert safe_after(sequencer, {"s1": (7, 7, 7), "s2": (2, 7, 2), "s3": (1, 7, 1), "s4": (7, 7, 0)}) == 2


def test_learners_do_not_count_towards_the_majority(sequencer):
    assert safe_after(sequencer, {"s1": (7, 7, 7), "s2": (2, 7, 2), "s3": (1, 7, 1), "s4": (7, 7, 7)}) == 2


@pytest.mark.parametrize("table_name", ["pending_entries", "pending"])
def test_voter_change_in_progress_requires_a_majority_of_both_sets(sequencer, table_name):
    request = msgpack.encode(SetVoters(ID, NAMES[:3], ("s1", "s2", "s4")))
    entries = sequencer.order.pending if table_name == "pending" else sequencer.pending_entries
    entries[3] = Entry(ID, 3, 3, Member("s1", 1), 1, request)
    acks = {"s1": (7, 7, 7), "s3": (7, 7, 7), "s2": (1, 7, 1), "s4": (2, 7, 2)}
    assert safe_after(sequencer, acks) == 2


def test_unopened_primary_requires_majorities_of_its_initial_and_requested_voters(sequencer):
    sequencer.primary.opened, sequencer.primary.pending_voters = False, (("s1", "s2", "s4"),)
    sequencer.voters = ("s9",)
    assert safe_after(sequencer, {"s1": (7, 7, 7), "s3": (7, 7, 7), "s2": (1, 7, 1), "s4": (2, 7, 2)}) == 2


@given(
    st.lists(st.tuples(st.sampled_from(NAMES), st.integers(0, 9), st.integers(0, 9), st.integers(0, 9)), max_size=30)
)
def test_safe_watermark_only_advances_and_is_synced_by_a_majority(acks):
    endpoint = Endpoint(Member("s1", 1), "storage", "z", "h", 1, 0)
    synchrony, _ = create_synchrony(endpoint, Bounds(), (), NAMES[:3], DurableLog(), 0)
    synchrony.configuration = Configuration(ID, tuple(Member(name, 1) for name in NAMES), "s1")
    synchrony.primary.eligible = synchrony.primary.opened = True
    synchrony.voters = NAMES[:3]
    highest_safe = 0
    for name, received, unsynced, unbound in acks:
        synced = max(0, received - unsynced)
        announced = safe_after(
            synchrony, {name: (synced, received, synced if name != "s4" else max(0, synced - unbound))}
        )
        assert announced == 0 or announced > highest_safe
        highest_safe = max(highest_safe, announced)
        synchrony.order.safe_watermark = highest_safe
        order = synchrony.order
        assert all(order.receipts.get(member_name, 0) >= highest_safe for member_name in NAMES) or highest_safe == 0
        assert sum(order.synced.get(member_name, 0) >= highest_safe for member_name in NAMES[:3]) >= 2


@given(st.lists(st.integers(0, 50), min_size=1, max_size=7))
def test_majority_watermark_is_the_highest_reached_by_more_than_half(watermarks):
    voters = tuple(f"s{number}" for number in range(len(watermarks)))
    by_name = dict(zip(voters, watermarks, strict=True))
    majority = majority_watermark(voters, by_name)
    assert sum(watermark >= majority for watermark in watermarks) * 2 > len(voters)
    assert sum(watermark > majority for watermark in watermarks) * 2 <= len(voters)


def test_majority_watermark_without_voters_is_zero():
    assert majority_watermark((), {"s1": 5}) == 0
