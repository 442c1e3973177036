"""Addresses of other daemons, kept on disk so that a start needs no seed."""

from msgspec import Struct, msgpack

from frostpost.virtual_synchrony.members import member_names
from frostpost.write_ahead_log import disk as write_ahead_logs


class Peers(Struct):
    write_ahead_log: object
    machine: object
    addresses: tuple[str, ...] = ()
    writing: bool = False


def open_(folder, machine, name="peers"):
    write_ahead_log, payloads, _ = write_ahead_logs.open_(folder, name, machine.files)
    return Peers(write_ahead_log, machine, tuple(msgpack.decode(payloads[-1])) if payloads else ())


def known(peers):
    """ "host:port" of those that were members last."""
    return peers.addresses


def keep(peers, synchrony):
    """Called now and then: what the open primary's members are, if that changed."""
    if peers.writing or not synchrony.primary.opened or synchrony.recovery:
        return
    others = [synchrony.peers[n].endpoint for n in member_names(synchrony.configuration) if n in synchrony.peers]
    keep_addresses(peers, [f"{p.host}:{p.port}" for p in others])


def keep_addresses(peers, addresses):
    addresses = tuple(sorted(addresses))
    if peers.writing or addresses == peers.addresses or not addresses:
        return
    peers.writing = True
    job = peers.machine.in_thread(write_ahead_logs.rewrite, peers.write_ahead_log, [msgpack.encode(addresses)])
    job.addCallbacks(kept, failed, (peers, addresses), None, (peers,))


def kept(_, peers, addresses):
    peers.addresses, peers.writing = addresses, False


def failed(_, peers):
    peers.writing = False
