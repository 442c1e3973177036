"""Addresses of other daemons, kept on disk so that a start needs no seed."""

from msgspec import Struct, msgpack

from frostpost.virtual_synchrony.members import member_names
from frostpost.write_ahead_log import log as write_ahead_logs


class AddressBook(Struct):
    """Addresses ("host:port") as they are on disk; `writing` while a newer list is on its way there."""

    write_ahead_log: object
    machine: object
    addresses: tuple[str, ...] = ()
    writing: bool = False


def open_address_book(folder, machine, name="peers"):
    """Open the book of that name in the data folder; an unreadable one begins empty."""
    write_ahead_log, payloads, _ = write_ahead_logs.open_log(folder, name, machine.files)
    return AddressBook(write_ahead_log, machine, tuple(msgpack.decode(payloads[-1])) if payloads else ())


def known_addresses(book):
    """ "host:port" of those that were members last."""
    return book.addresses


def save_members(book, synchrony):
    """Called now and then: what the open primary's members are, if that changed."""
    if book.writing or not synchrony.primary.opened or synchrony.recovery:
        return
    others = [synchrony.peers[n].endpoint for n in member_names(synchrony.configuration) if n in synchrony.peers]
    save_addresses(book, [f"{p.host}:{p.port}" for p in others])


def save_addresses(book, addresses):
    """Replace the addresses on disk if they differ; a write that is under way is not waited for."""
    addresses = tuple(sorted(addresses))
    if book.writing or addresses == book.addresses or not addresses:
        return
    book.writing = True
    job = book.machine.in_thread(write_ahead_logs.rewrite, book.write_ahead_log, [msgpack.encode(addresses)])
    job.addCallbacks(saved, failed, (book, addresses), None, (book,))


def saved(_, book, addresses):
    """The new addresses are on disk."""
    book.addresses, book.writing = addresses, False


def failed(_, book):
    """The write failed: the addresses on disk are as before, and the next call tries again."""
    book.writing = False
