"""Configurations, entries of the total order, and durable state: types shared by messages and protocol state."""

from msgspec import Struct

from .endpoints import Member


class ConfigurationId(Struct, frozen=True, array_like=True, order=True):
    """Identifies a configuration; ordered by epoch, then by proposer. incarnation: the proposer's."""

    epoch: int
    proposer: str
    incarnation: int


class Configuration(Struct, frozen=True, array_like=True):
    """An agreed membership: its id, its members in sort order, and the name of its sequencer."""

    id: ConfigurationId
    members: tuple[Member, ...]
    sequencer: str


class Entry(Struct, frozen=True, array_like=True):
    """One ordered operation.

    ordinal: position in the configuration, from 1. index: position in the log of the primary's history. number: the
    sender's number of the operation; 0 for entries created by the protocol itself. payload: the encoded operation.
    """

    configuration: ConfigurationId
    ordinal: int
    index: int
    sender: Member
    number: int
    payload: bytes


class DurableState(Struct, frozen=True, array_like=True):
    """Summary of a member's log, exchanged in a recovery.

    primary: the last primary that the log belonged to. length: index of the last entry. pending_voters: sets of voters
    requested by uncommitted entries.
    """

    primary: ConfigurationId
    length: int
    voters: tuple[str, ...]
    pending_voters: tuple[tuple[str, ...], ...]
