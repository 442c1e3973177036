"""Addresses of other daemons, stored on disk so that a restarted daemon finds its peers without any seed."""

from msgspec import Struct, msgpack

from frostpost.virtual_synchrony.members import member_names
from frostpost.write_ahead_log import log as write_ahead_logs
from frostpost.write_ahead_log import replacement


class AddressStore(Struct):
    """The stored addresses as "host:port"; `writing` is set while a newer list is being written."""

    write_ahead_log: object
    machine: object
    addresses: tuple[str, ...] = ()
    writing: bool = False


def open_address_store(folder, machine, name="peers"):
    """Open the store of that name in the data folder; an unreadable one starts empty."""
    write_ahead_log, payloads, _ = write_ahead_logs.open_log(folder, name, machine.files)
    return AddressStore(write_ahead_log, machine, tuple(msgpack.decode(payloads[-1])) if payloads else ())


def stored_addresses(store):
    """Returns the "host:port" addresses last stored."""
    return store.addresses


def save_member_addresses(store, synchrony):
    """Store the addresses of the members of the opened primary component, if they changed."""
    if store.writing or not synchrony.primary.opened or synchrony.recovery:
        return
    endpoints = [synchrony.peers[n].endpoint for n in member_names(synchrony.configuration) if n in synchrony.peers]
    save_addresses(store, [f"{e.host}:{e.port}" for e in endpoints])


def save_addresses(store, addresses):
    """Replace the stored addresses if they differ; does nothing while another write is in progress."""
    addresses = tuple(sorted(addresses))
    if store.writing or addresses == store.addresses or not addresses:
        return
    store.writing = True
    write = store.machine.in_thread(replacement.rewrite, store.write_ahead_log, [msgpack.encode(addresses)])
    write.addCallbacks(on_written, on_write_failed, (store, addresses), None, (store,))


def on_written(_, store, addresses):
    """Record that the new addresses are on disk."""
    store.addresses, store.writing = addresses, False


def on_write_failed(_, store):
    """Keep the previous addresses after a failed write; the next call writes again."""
    store.writing = False
