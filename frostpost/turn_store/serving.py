"""A storage daemon's side: bodies put and got by others; answers to its own requests go to the repair."""

from frostpost.virtual_synchrony.agent_messages import GetBodiesReply, GetBodiesRequest, PutBodyReply, PutBodyRequest

from . import store
from .repair import MESSAGE_BYTES, cut_short, got, lacking, repair

__all__ = ("cut_short", "found", "lacking", "received", "repair")


def received(replica, frm_address, body):
    """Takes PutBodyRequest, GetBodiesRequest and GetBodiesReply; -> whether it was one of them."""
    if isinstance(body, PutBodyRequest):
        store.put(replica.turn_store, body.turn, body.data).addCallback(
            lambda synced: replica.send(frm_address, PutBodyReply(body.incarnation, body.number, synced))
        )
    elif isinstance(body, GetBodiesRequest):
        replica.send(frm_address, GetBodiesReply(body.incarnation, body.number, found(replica.turn_store, body.turns)))
    elif isinstance(body, GetBodiesReply):
        got(replica, frm_address, body)
    else:
        return False
    return True


def found(turn_store, turns):
    """As many of the bodies asked for as fit in one answer."""
    items, total = [], 0
    for turn in dict.fromkeys(turns):
        if total >= MESSAGE_BYTES:
            break
        data = store.get(turn_store, turn)
        if data is not None:
            items.append((turn, data))
            total += len(data)
    return tuple(items)
