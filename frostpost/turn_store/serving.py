"""Server of the turn store on a replica: answers puts and gets, and passes replies to repair."""

from frostpost.virtual_synchrony.agent_messages import GetBodiesReply, GetBodiesRequest, PutBodyReply, PutBodyRequest

from . import store
from .repair import REPLY_BYTES, on_reply


def on_message(replica, sender_address, message):
    """Handle PutBodyRequest, GetBodiesRequest and GetBodiesReply; return whether the message was one of them."""
    if isinstance(message, PutBodyRequest):
        store.put(replica.turn_store, message.turn, message.data).addCallback(
            lambda synced: replica.send(sender_address, PutBodyReply(message.incarnation, message.number, synced))
        )
    elif isinstance(message, GetBodiesRequest):
        replica.send(
            sender_address,
            GetBodiesReply(message.incarnation, message.number, read_bodies(replica.turn_store, message.turns)),
        )
    elif isinstance(message, GetBodiesReply):
        on_reply(replica, sender_address, message)
    else:
        return False
    return True


def read_bodies(turn_store, turns):
    """Return (turn, body) pairs for the turns that are stored, as many as fit in one reply."""
    items, total_bytes = [], 0
    for turn in dict.fromkeys(turns):
        if total_bytes >= REPLY_BYTES:
            break
        data = store.get(turn_store, turn)
        if data is not None:
            items.append((turn, data))
            total_bytes += len(data)
    return tuple(items)
