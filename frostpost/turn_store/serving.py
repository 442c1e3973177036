"""A storage daemon's side: bodies put and got by others; answers to its own requests go to the repair."""

from frostpost.virtual_synchrony.agent_messages import GetBodiesReply, GetBodiesRequest, PutBodyReply, PutBodyRequest

from . import store
from .repair import MESSAGE_BYTES, on_bodies


def on_message(replica, frm_address, body):
    """Takes PutBodyRequest, GetBodiesRequest and GetBodiesReply; -> whether it was one of them."""
    if isinstance(body, PutBodyRequest):
        store.put(replica.turn_store, body.turn, body.data).addCallback(
            lambda synced: replica.send(frm_address, PutBodyReply(body.incarnation, body.number, synced))
        )
    elif isinstance(body, GetBodiesRequest):
        replica.send(
            frm_address, GetBodiesReply(body.incarnation, body.number, stored_bodies(replica.turn_store, body.turns))
        )
    elif isinstance(body, GetBodiesReply):
        on_bodies(replica, frm_address, body)
    else:
        return False
    return True


def stored_bodies(turn_store, turns):
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
