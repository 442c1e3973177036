"""A replica of the ledger to which tests apply operations one by one, from the log alone or through snapshots."""

from msgspec import msgpack

from frostpost.ledger import snapshots
from frostpost.ledger.apply import apply
from frostpost.ledger.entities import SingletonRole
from frostpost.ledger.state import Ledger
from frostpost.virtual_synchrony.configuration import ConfigurationId, Entry
from frostpost.virtual_synchrony.endpoints import Member

CONFIGURATION, MEMBER, FENCE = ConfigurationId(1, "s1", 1), Member("s1", 1), 5


class LedgerReplica:
    """A ledger under the given rules; `reload` stores it as a snapshot and loads it before each operation."""

    def __init__(self, reload, rules):
        self.ledger, self.reload = Ledger(members=(MEMBER,), rules=rules), reload
        self.ledger.duties["ticks"] = SingletonRole(MEMBER, FENCE)

    def apply(self, op):
        if self.reload:
            state = snapshots.run_to_completion(snapshots.encode_in_slices(self.ledger, 1))
            self.ledger = snapshots.run_to_completion(snapshots.decode_in_slices(state))
        index = self.ledger.index + 1
        self.ledger, result = apply(self.ledger, Entry(CONFIGURATION, index, index, MEMBER, index, msgpack.encode(op)))
        return result
