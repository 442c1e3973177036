"""Repair: a replica fetches the bodies of live turns that it lacks from its peers, as fast as they come.

What is lacking is counted in rounds. Between rounds the next batch is asked of a peer when its last one has come, so
that the rate follows the link and the disk; the bytes that are asked for or not yet synced are bounded.
"""

from collections import deque
from zlib import crc32

from msgspec import Struct

from frostpost.virtual_synchrony.agent_messages import GetBodiesRequest

from . import store

MESSAGE_BYTES = 1_500_000
BATCH_TURNS = 64
IN_FLIGHT_SHARE = 4
SILENT_MS = 400
CYCLE_MS = 2000


class OpenRequest(Struct):
    """One open request to a peer. index: the ledger index that was applied when it was sent."""

    number: int
    turns: tuple[str, ...]
    until_ms: int
    index: int


class TurnAttempts(Struct):
    """asked: the peers asked for a turn in this cycle. again_ms: when a new cycle may begin. denied: the peers that
    lacked it, with the ledger index that was applied when they were asked."""

    asked: list[str] = []
    again_ms: int = 0
    denied: dict[str, int] = {}


class Repair(Struct):
    """queues: by peer, the turns to ask of it next. lacked: what the last round found lacking, at ledger index."""

    incarnation: int
    number: int = 0
    asks: dict[str, OpenRequest] = {}
    tried: dict[str, TurnAttempts] = {}
    queues: dict[str, deque[str]] = {}
    peers: tuple[str, ...] = ()
    lacked: list[str] | None = None
    index: int = 0
    waking: bool = False


def is_truncated(items):
    """Whether more may be had by asking the same daemon for the rest."""
    return sum(len(data) for _, data in items) >= MESSAGE_BYTES


def missing_turns(turn_store, turns):
    """The turns among these whose bodies are not held, in their order."""
    if turns.keys() <= turn_store.index.keys():
        return []
    return [turn for turn in turns if turn not in turn_store.index]


def repair(replica, live_turns, peers, index=0):
    """One round: count what is lacking and ask peers ("@host:port") for it; call it every 200 ms or so.

    index: the ledger index that `live_turns` stands for.
    """
    turn_store, state = replica.turn_store, repairing(replica)
    lacked = missing_turns(turn_store, live_turns)
    state.peers = tuple(peers)
    state.tried = {turn: state.tried[turn] for turn in lacked if turn in state.tried}
    report(turn_store, state, lacked, index)
    state.lacked, state.index = lacked, index
    now = store.now_ms(turn_store)
    state.asks = {peer: ask for peer, ask in state.asks.items() if peer in peers and now < ask.until_ms}
    state.queues = queues_of(turn_store, state, now)
    ask_all(replica)


def report(turn_store, state, lacked, index):
    """Tell how many bodies are missing, and as of which ledger index that is so.

    A body that was lacking in the last round and is held now isn't missing, so that bodies on their way to every
    replica don't count. Nor is one that every peer has denied: no acknowledged turn is, while losses are tolerated.
    """
    before = lacked if state.lacked is None else [t for t in state.lacked if t not in turn_store.index]
    nowhere = [turn for turn in before if denied_by_all(state, turn)]
    turn_store.missing = len(before) - len(nowhere)
    counted = 0 if state.lacked is None else state.index
    turn_store.counted = min([counted, *(index for turn in nowhere for index in state.tried[turn].denied.values())])


def denied_by_all(state, turn):
    """Tell whether every peer has said that it lacks a turn's body."""
    tried = state.tried.get(turn)
    return tried is not None and bool(state.peers) and all(peer in tried.denied for peer in state.peers)


def repairing(replica):
    """Return a replica's state of repair; made at first use."""
    if replica.turn_store.repairing is None:
        replica.turn_store.repairing = Repair(int(replica.machine.token(4), 16))
    return replica.turn_store.repairing


def queues_of(turn_store, state, now):
    """Turns to ask for now, by the peer whose turn it is to be asked."""
    queues = {peer: deque() for peer in state.peers}
    open_asks = {turn for ask in state.asks.values() for turn in ask.turns}
    for turn in state.lacked:
        peer = None if turn in open_asks or turn in turn_store.pending else next_peer(state, turn, now)
        if peer is not None:
            queues[peer].append(turn)
    return queues


def next_peer(state, turn, now):
    """A peer that wasn't asked for a turn in this cycle, or None; each turn begins its cycles at another peer."""
    first = crc32(turn.encode()) % max(1, len(state.peers))
    peers = state.peers[first:] + state.peers[:first]
    tried = state.tried.get(turn)
    if tried is None or not peers:
        return peers[0] if peers else None
    left = [peer for peer in peers if peer not in tried.asked]
    if not left and now >= tried.again_ms:
        tried.asked, left = [], peers
    return left[0] if left else None


def ask_all(replica):
    """Ask every peer for its next batch."""
    for peer in replica.turn_store.repairing.peers:
        ask_next(replica, peer)


def may_ask(turn_store, state):
    """Whether one more answer may come in without passing the bound of bytes in flight."""
    most_bytes = max(MESSAGE_BYTES, turn_store.queue_bytes // IN_FLIGHT_SHARE)
    in_flight_bytes = len(state.asks) * MESSAGE_BYTES + turn_store.queued_bytes
    return store.has_capacity(turn_store) and in_flight_bytes + MESSAGE_BYTES <= most_bytes


def ask_next(replica, peer):
    """Ask a peer for its next batch, if it has answered the last one."""
    turn_store, state = replica.turn_store, replica.turn_store.repairing
    queue = state.queues.get(peer)
    if not queue or peer in state.asks or not may_ask(turn_store, state):
        return
    turns = []
    while queue and len(turns) < BATCH_TURNS:
        turn = queue.popleft()
        if turn not in turn_store.index and turn not in turn_store.pending:
            turns.append(turn)
    if turns:
        send_ask(replica, state, peer, tuple(turns))


def send_ask(replica, state, peer, turns):
    """Send a request for some turns' bodies to a peer."""
    now = store.now_ms(replica.turn_store)
    state.number += 1
    state.asks[peer] = OpenRequest(state.number, turns, now + SILENT_MS, state.index)
    for turn in turns:
        tried = state.tried.setdefault(turn, TurnAttempts())
        tried.asked.append(peer)
        tried.again_ms = now + CYCLE_MS
    replica.send(peer, GetBodiesRequest(state.incarnation, state.number, turns))


def on_bodies(replica, peer, body):
    """A peer's answer: keep what it brought, ask others for what it denied, and go on with the next batch."""
    turn_store, state = replica.turn_store, replica.turn_store.repairing
    ask = state.asks.get(peer) if state is not None else None
    if ask is None or body.incarnation != state.incarnation or body.number != ask.number:
        return
    del state.asks[peer]
    brought = {turn: data for turn, data in body.items if turn in ask.turns}
    for turn, data in brought.items():
        store.put(turn_store, turn, data).addCallback(lambda _: wake(replica))
    rest = [turn for turn in ask.turns if turn not in brought and turn in state.tried]
    if is_truncated(body.items):
        ask_rest(state, peer, rest)
    else:
        deny(state, peer, rest, ask.index, store.now_ms(turn_store))
    wake(replica)


def ask_rest(state, peer, turns):
    """The answer was full: the same peer is asked for what didn't fit in it."""
    for turn in turns:
        state.tried[turn].asked.remove(peer)
    if peer in state.queues:
        state.queues[peer].extendleft(reversed(turns))


def deny(state, peer, turns, index, now):
    """The peer lacks these turns: another one is asked, unless all were."""
    for turn in turns:
        tried = state.tried[turn]
        tried.denied[peer] = index
        other = next_peer(state, turn, now)
        if other is not None:
            state.queues.setdefault(other, deque()).append(turn)


def wake(replica):
    """Go on asking, once the calls of this moment are done."""
    state = replica.turn_store.repairing
    if not state.waking:
        state.waking = True
        replica.reactor.callLater(0, woken, replica)


def woken(replica):
    """Go on asking."""
    replica.turn_store.repairing.waking = False
    ask_all(replica)
