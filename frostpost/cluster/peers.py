"""Addresses of other daemons, kept on disk so that a start needs no seed."""

from msgspec import Struct, msgpack

from frostpost.write_ahead_log import disk as furrows
from frostpost.virtual_synchrony.state import names


class Peers(Struct):
    furrow: object
    machine: object
    addresses: tuple[str, ...] = ()
    writing: bool = False


def open_(folder, machine, name="peers"):
    furrow, payloads, _ = furrows.open_(folder, name, machine.files)
    return Peers(furrow, machine, tuple(msgpack.decode(payloads[-1])) if payloads else ())


def known(peers):
    """ "host:port" of those that were members last."""
    return peers.addresses


def keep(peers, hedge):
    """Called now and then: what the open primary's members are, if that changed."""
    if peers.writing or not hedge.primary.opened or hedge.recovery:
        return
    others = [hedge.peers[n].place for n in names(hedge.configuration) if n in hedge.peers]
    keep_addresses(peers, [f"{p.host}:{p.port}" for p in others])


def keep_addresses(peers, addresses):
    addresses = tuple(sorted(addresses))
    if peers.writing or addresses == peers.addresses or not addresses:
        return
    peers.writing = True
    job = peers.machine.inThread(furrows.rewrite, peers.furrow, [msgpack.encode(addresses)])
    job.addCallbacks(kept, failed, (peers, addresses), None, (peers,))


def kept(_, peers, addresses):
    peers.addresses, peers.writing = addresses, False


def failed(_, peers):
    peers.writing = False
