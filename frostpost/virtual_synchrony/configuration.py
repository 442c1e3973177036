"""Configurations, entries of the total order, and what a log holds: types that messages and state share."""

from msgspec import Struct

from .endpoints import Member


class ConfigurationId(Struct, frozen=True, array_like=True, order=True):
    """Names a configuration; ordered by epoch, then proposer. incarnation: of the proposer."""

    epoch: int
    proposer: str
    incarnation: int


class Configuration(Struct, frozen=True, array_like=True):
    """A membership that was agreed on: its id, its members in order of their sort key, and who sequences."""

    id: ConfigurationId
    members: tuple[Member, ...]
    sequencer: str


class Entry(Struct, frozen=True, array_like=True):
    """One ordered operation.

    ordinal: its position in the configuration, from 1. index: its position in the log of the primary's history. number:
    of the operation at its sender, 0 for entries that the protocol makes itself. payload: the encoded operation.
    """

    configuration: ConfigurationId
    ordinal: int
    index: int
    sender: Member
    number: int
    payload: bytes


class DurableState(Struct, frozen=True, array_like=True):
    """What a member's log holds on disk, as told in a recovery.

    primary: the last primary that it was part of. length: index of its last entry. pending_voters: sets of voters that
    uncommitted entries ask for.
    """

    primary: ConfigurationId
    length: int
    voters: tuple[str, ...]
    pending_voters: tuple[tuple[str, ...], ...]
