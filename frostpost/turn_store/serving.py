"""A storage daemon's side: bodies put and got by others, and those it lacks fetched from its peers."""

from zlib import crc32

from msgspec import Struct

from frostpost.virtual_synchrony.outer import SiloDone, SiloGet, SiloGot, SiloPut

from . import store

MESSAGE_BYTES = 1_500_000
BATCH_TURNS = 64
AGAIN_MS = 400
ROUND_MS = 2000


class Ask(Struct):
    number: int
    turns: tuple[str, ...]
    until_ms: int


class Tried(Struct):
    """How many peers were asked for a turn, and when the next one may be."""

    count: int = 0
    again_ms: int = 0


class Repair(Struct):
    boot: int
    number: int = 0
    asks: dict[str, Ask] = {}
    tried: dict[str, Tried] = {}


def received(replica, frm_address, body):
    """Takes SiloPut, SiloGet and SiloGot; -> whether it was one of them."""
    if isinstance(body, SiloPut):
        store.put(replica.turn_store, body.turn, body.data).addCallback(
            lambda synced: replica.send(frm_address, SiloDone(body.boot, body.number, synced))
        )
    elif isinstance(body, SiloGet):
        replica.send(frm_address, SiloGot(body.boot, body.number, found(replica.turn_store, body.turns)))
    elif isinstance(body, SiloGot):
        got(replica, frm_address, body)
    else:
        return False
    return True


def found(turn_store, turns):
    items, total = [], 0
    for turn in dict.fromkeys(turns):
        if total >= MESSAGE_BYTES:
            break
        data = store.get(turn_store, turn)
        if data is not None:
            items.append((turn, data))
            total += len(data)
    return tuple(items)


def cut_short(items):
    """Whether more may be had by asking the same daemon for the rest."""
    return sum(len(data) for _, data in items) >= MESSAGE_BYTES


def lacking(replica, turns):
    """The turns among these whose bodies are not held."""
    return set(turns) - replica.turn_store.index.keys()


def repair(replica, live_turns, peers):
    """Asks peers ("@host:port") for what is lacking; call it every 200 ms or so."""
    turn_store, missing = replica.turn_store, lacking(replica, live_turns)
    turn_store.missing = len(missing)
    state = repairing(replica)
    state.tried = {turn: tried for turn, tried in state.tried.items() if turn in missing}
    now = store.now_ms(turn_store)
    state.asks = {peer: ask for peer, ask in state.asks.items() if peer in peers and now < ask.until_ms}
    if not missing or not peers or not store.has_room(turn_store):
        return
    batches = {peer: [] for peer in peers if peer not in state.asks}
    for turn in live_turns:
        if turn not in missing:
            continue
        if not any(len(turns) < BATCH_TURNS for turns in batches.values()):
            break
        tried = state.tried.setdefault(turn, Tried())
        turns = batches.get(peers[(crc32(turn.encode()) + tried.count) % len(peers)])
        if now >= tried.again_ms and turn not in turn_store.pending and turns is not None and len(turns) < BATCH_TURNS:
            turns.append(turn)
    for peer, turns in batches.items():
        if turns:
            ask_peer(replica, state, peer, tuple(turns), len(peers))


def repairing(replica):
    if replica.turn_store.repairing is None:
        replica.turn_store.repairing = Repair(int(replica.machine.token(4), 16))
    return replica.turn_store.repairing


def ask_peer(replica, state, peer, turns, count_peers):
    now = store.now_ms(replica.turn_store)
    state.number += 1
    state.asks[peer] = Ask(state.number, turns, now + AGAIN_MS)
    for turn in turns:
        tried = state.tried[turn]
        tried.count += 1
        tried.again_ms = now + (ROUND_MS if tried.count % count_peers == 0 else AGAIN_MS)
    replica.send(peer, SiloGet(state.boot, state.number, turns))


def got(replica, frm_address, body):
    state = replica.turn_store.repairing
    ask = state.asks.get(frm_address) if state is not None else None
    if ask is None or body.boot != state.boot or body.number != ask.number:
        return
    del state.asks[frm_address]
    for turn, data in body.items:
        if turn in ask.turns:
            store.put(replica.turn_store, turn, data)
    now, brought = store.now_ms(replica.turn_store), {turn for turn, _ in body.items}
    short = cut_short(body.items)
    for turn in ask.turns:
        tried = state.tried.get(turn)
        if tried is None or turn in brought:
            continue
        if short:
            tried.count, tried.again_ms = tried.count - 1, now
        elif tried.again_ms <= now + AGAIN_MS:
            tried.again_ms = now
