"""Anti-entropy repair: a replica fetches the bodies of live turns that it lacks from its peers.

Each round recomputes which bodies are missing. Within a round, the next batch is requested from a peer as soon as it
has replied to the previous one, so that the rate follows the link and the disk. The bytes that are requested or not
yet synced are bounded.
"""

from collections import deque
from zlib import crc32

from msgspec import Struct

from frostpost.virtual_synchrony.agent_messages import GetBodiesRequest

from . import store

# A reply is full once its bodies reach this size; the last one may exceed it.
REPLY_BYTES = 1_500_000
BATCH_TURNS = 64
# Repair may use this fraction (1/n) of the store's write queue.
IN_FLIGHT_DIVISOR = 4
REPLY_TIMEOUT_MS = 400
# A turn is requested from a peer that has been asked already only after this time.
RETRY_CYCLE_MS = 2000


class OpenRequest(Struct):
    """A request that a peer has not answered. index: the ledger index that was applied when it was sent."""

    number: int
    turns: tuple[str, ...]
    deadline_ms: int
    index: int


class TurnAttempts(Struct):
    """The attempts to fetch a turn's body.

    contacted_peers: the peers asked in this cycle. next_cycle_ms: when a new cycle may begin. absent_at: by peer that
    replied without the body, the ledger index that was applied when it was asked.
    """

    contacted_peers: list[str] = []
    next_cycle_ms: int = 0
    absent_at: dict[str, int] = {}


class RepairState(Struct):
    """State of repair on a replica.

    requests: the open request to each peer. queues: by peer, the turns to request from it next. missing: the turns
    that the last round found missing, None before the first round. index: the ledger index of the last round.
    """

    incarnation: int
    last_number: int = 0
    requests: dict[str, OpenRequest] = {}
    attempts: dict[str, TurnAttempts] = {}
    queues: dict[str, deque[str]] = {}
    peers: tuple[str, ...] = ()
    missing: list[str] | None = None
    index: int = 0
    is_resume_scheduled: bool = False


def is_truncated(items):
    """Return whether a reply was full, so that the same replica may have more of the requested bodies."""
    return sum(len(data) for _, data in items) >= REPLY_BYTES


def missing_turns(turn_store, turns):
    """Return the turns whose bodies are not stored, in the order of `turns`."""
    if turns.keys() <= turn_store.index.keys():
        return []
    return [turn for turn in turns if turn not in turn_store.index]


def run_round(replica, live_turns, peers, index=0):
    """Recompute which bodies are missing and request them from the peers ("@host:port").

    Call it periodically, every 200 ms or so. index: the ledger index at which `live_turns` are the live turns.
    """
    turn_store, state = replica.turn_store, repair_state_of(replica)
    missing = missing_turns(turn_store, live_turns)
    state.peers = tuple(peers)
    state.attempts = {turn: state.attempts[turn] for turn in missing if turn in state.attempts}
    update_missing_count(turn_store, state, missing, index)
    state.missing, state.index = missing, index
    now_ms = store.now_ms(turn_store)
    state.requests = {
        peer: request for peer, request in state.requests.items() if peer in peers and now_ms < request.deadline_ms
    }
    state.queues = build_queues(turn_store, state, now_ms)
    request_from_all_peers(replica)


def update_missing_count(turn_store, state, missing, index):
    """Update the number of missing bodies and the ledger index as of which it holds.

    A body counts if the previous round found it missing and it is still not stored, which leaves out bodies that are
    being written to all replicas. The first round counts all that it finds missing, as of index 0. A body that every
    peer lacks doesn't count: unless more replicas failed than are tolerated, its turn was never acknowledged.
    """
    candidates = missing if state.missing is None else [t for t in state.missing if t not in turn_store.index]
    absent_everywhere = [turn for turn in candidates if is_absent_everywhere(state, turn)]
    turn_store.missing_count = len(candidates) - len(absent_everywhere)
    round_index = 0 if state.missing is None else state.index
    turn_store.missing_as_of_index = min(
        [round_index, *(index for turn in absent_everywhere for index in state.attempts[turn].absent_at.values())]
    )


def is_absent_everywhere(state, turn):
    """Return whether every peer has replied that it lacks a turn's body."""
    attempts = state.attempts.get(turn)
    return attempts is not None and bool(state.peers) and all(peer in attempts.absent_at for peer in state.peers)


def repair_state_of(replica):
    """Return a replica's repair state, creating it on first use."""
    if replica.turn_store.repair_state is None:
        replica.turn_store.repair_state = RepairState(int(replica.machine.token(4), 16))
    return replica.turn_store.repair_state


def build_queues(turn_store, state, now_ms):
    """Return the missing turns to request now, by the peer to request them from."""
    queues = {peer: deque() for peer in state.peers}
    requested = {turn for request in state.requests.values() for turn in request.turns}
    for turn in state.missing:
        peer = None if turn in requested or turn in turn_store.pending_puts else next_peer(state, turn, now_ms)
        if peer is not None:
            queues[peer].append(turn)
    return queues


def next_peer(state, turn, now_ms):
    """Return a peer that was not asked for a turn in this cycle, or None.

    The turn's checksum selects the first peer of a cycle, which spreads the requests over the peers.
    """
    first = crc32(turn.encode()) % max(1, len(state.peers))
    peers = state.peers[first:] + state.peers[:first]
    attempts = state.attempts.get(turn)
    if attempts is None or not peers:
        return peers[0] if peers else None
    unasked = [peer for peer in peers if peer not in attempts.contacted_peers]
    if not unasked and now_ms >= attempts.next_cycle_ms:
        attempts.contacted_peers, unasked = [], peers
    return unasked[0] if unasked else None


def request_from_all_peers(replica):
    """Request the next batch from every peer."""
    for peer in replica.turn_store.repair_state.peers:
        request_next_batch(replica, peer)


def has_request_capacity(turn_store, state):
    """Return whether one more full reply fits in the bound of bytes in flight."""
    max_bytes = max(REPLY_BYTES, turn_store.max_queue_bytes // IN_FLIGHT_DIVISOR)
    in_flight_bytes = len(state.requests) * REPLY_BYTES + turn_store.queued_bytes
    return store.has_capacity(turn_store) and in_flight_bytes + REPLY_BYTES <= max_bytes


def request_next_batch(replica, peer):
    """Request the next batch from a peer, unless its last request is still open."""
    turn_store, state = replica.turn_store, replica.turn_store.repair_state
    queue = state.queues.get(peer)
    if not queue or peer in state.requests or not has_request_capacity(turn_store, state):
        return
    turns = []
    while queue and len(turns) < BATCH_TURNS:
        turn = queue.popleft()
        if turn not in turn_store.index and turn not in turn_store.pending_puts:
            turns.append(turn)
    if turns:
        send_request(replica, state, peer, tuple(turns))


def send_request(replica, state, peer, turns):
    """Send a request for the bodies of turns to a peer."""
    now_ms = store.now_ms(replica.turn_store)
    state.last_number += 1
    state.requests[peer] = OpenRequest(state.last_number, turns, now_ms + REPLY_TIMEOUT_MS, state.index)
    for turn in turns:
        attempts = state.attempts.setdefault(turn, TurnAttempts())
        attempts.contacted_peers.append(peer)
        attempts.next_cycle_ms = now_ms + RETRY_CYCLE_MS
    replica.send(peer, GetBodiesRequest(state.incarnation, state.last_number, turns))


def on_reply(replica, peer, message):
    """Store the bodies of a peer's reply and redirect what it lacks to other peers; ignore replies not requested."""
    turn_store, state = replica.turn_store, replica.turn_store.repair_state
    request = state.requests.get(peer) if state is not None else None
    if request is None or message.incarnation != state.incarnation or message.number != request.number:
        return
    del state.requests[peer]
    received = {turn: data for turn, data in message.items if turn in request.turns}
    for turn, data in received.items():
        store.put(turn_store, turn, data).addCallback(lambda _: schedule_requests(replica))
    remaining = [turn for turn in request.turns if turn not in received and turn in state.attempts]
    if is_truncated(message.items):
        requeue_remaining(state, peer, remaining)
    else:
        record_absent(state, peer, remaining, request.index, store.now_ms(turn_store))
    schedule_requests(replica)


def requeue_remaining(state, peer, turns):
    """Put turns that did not fit in a full reply back to the head of the peer's queue."""
    for turn in turns:
        state.attempts[turn].contacted_peers.remove(peer)
    if peer in state.queues:
        state.queues[peer].extendleft(reversed(turns))


def record_absent(state, peer, turns, index, now_ms):
    """Record that a peer lacks turns and queue them for other peers not asked in this cycle."""
    for turn in turns:
        attempts = state.attempts[turn]
        attempts.absent_at[peer] = index
        other_peer = next_peer(state, turn, now_ms)
        if other_peer is not None:
            state.queues.setdefault(other_peer, deque()).append(turn)


def schedule_requests(replica):
    """Schedule the next requests for after the current event, unless they are scheduled already."""
    state = replica.turn_store.repair_state
    if not state.is_resume_scheduled:
        state.is_resume_scheduled = True
        replica.reactor.callLater(0, resume_requests, replica)


def resume_requests(replica):
    """Request the next batch from every peer."""
    replica.turn_store.repair_state.is_resume_scheduled = False
    request_from_all_peers(replica)
