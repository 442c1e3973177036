"""Election of the member that holds each background role; the fencing token is the index of the election."""

from hashlib import blake2b

from .entities import SingletonRole
from .results import Done, Fenced, NotHeld

ROLES = ("list", "ticks", "calendars")


def candidate_score(role, round, name):
    """Return a member's score for a role in a round: a digest that all members compute alike."""
    return blake2b(f"{role}/{round}/{name}".encode(), digest_size=8).digest()


def electors(ledger):
    """Return the names of the members that may vote and be elected."""
    return ledger.cores or tuple(m.name for m in ledger.members)


def nominee(ledger, role, round):
    """Return the elector with the highest score for a role in a round."""
    return max(electors(ledger), key=lambda name: candidate_score(role, round, name), default="")


def vacate_departed(ledger):
    """Vacate the roles of departed members and open a new round for each."""
    for name in ROLES:
        role = ledger.duties.setdefault(name, SingletonRole())
        if role.holder is not None and role.holder not in ledger.members:
            role.holder, role.round = None, role.round + 1
        if role.holder is None:
            role.ballots = {}


def count_ballot(ledger, entry, op):
    """Count one member's vote; a candidate with a majority of the electors becomes the holder.

    If all electors have voted without a majority, a new round is opened.
    """
    role = ledger.duties.get(op.role)
    if role is None or role.holder is not None or role.round != op.round:
        return NotHeld("round")
    voters = electors(ledger)
    if entry.sender.name not in voters:
        return NotHeld("elector")
    role.ballots[entry.sender.name] = op.candidate
    votes = [vote for voter, vote in role.ballots.items() if voter in voters]
    for candidate in sorted(set(votes)):
        member = next((m for m in ledger.members if m.name == candidate), None)
        if member and votes.count(candidate) * 2 > len(voters):
            role.holder, role.fence, role.ballots = member, entry.index, {}
            return Done(entry.index)
    if len(votes) == len(voters):
        role.round, role.ballots = role.round + 1, {}
    return Done(entry.index)


def pending_ballots(ledger, me):
    """Return the votes that a member has yet to cast, as tuples of role, round and candidate."""
    vacant = [(name, role) for name, role in ledger.duties.items() if role.holder is None]
    if not vacant or me.name not in electors(ledger):
        return []
    return [
        (name, role.round, nominee(ledger, name, role.round)) for name, role in vacant if me.name not in role.ballots
    ]


def fencing_token(ledger, name, me):
    """Return the fencing token of a role that a member holds, 0 if it does not hold it."""
    role = ledger.duties.get(name)
    return role.fence if role and role.holder == me else 0


def fencing_error(ledger, name, entry, fence):
    """Return Fenced if an entry does not carry the current fencing token of its role, else None."""
    role = ledger.duties.get(name)
    if role is None or role.holder != entry.sender or role.fence != fence:
        return Fenced(role.fence if role else 0)
