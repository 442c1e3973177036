"""Election of the member that holds each background duty; the fencing token is the index of the election."""

from hashlib import blake2b

from .entities import SingletonRole
from .results import Done, Fenced, NotHeld

ROLES = ("list", "ticks", "calendars")


def candidate_score(duty, round, name):
    """Return the rank of a member for a duty in a round, as a digest that all members compute alike."""
    return blake2b(f"{duty}/{round}/{name}".encode(), digest_size=8).digest()


def electors(ledger):
    """Return the names of the members that may vote and be elected."""
    return ledger.cores or tuple(m.name for m in ledger.members)


def nominee(ledger, duty, round):
    """Return the elector with the highest score for a duty in a round."""
    return max(electors(ledger), key=lambda n: candidate_score(duty, round, n), default="")


def vacate_departed(ledger):
    """Free the duties of members that are gone and open a new round for each."""
    for name in ROLES:
        duty = ledger.duties.setdefault(name, SingletonRole())
        if duty.holder is not None and duty.holder not in ledger.members:
            duty.holder, duty.round = None, duty.round + 1
        if duty.holder is None:
            duty.ballots = {}


def count_ballot(ledger, entry, op):
    """Count one member's vote; a candidate with a majority of the electors holds the duty."""
    duty = ledger.duties.get(op.role)
    if duty is None or duty.holder is not None or duty.round != op.round:
        return NotHeld("round")
    able = electors(ledger)
    if entry.sender.name not in able:
        return NotHeld("elector")
    duty.ballots[entry.sender.name] = op.candidate
    said = [c for voter, c in duty.ballots.items() if voter in able]
    for candidate in sorted(set(said)):
        member = next((m for m in ledger.members if m.name == candidate), None)
        if member and said.count(candidate) * 2 > len(able):
            duty.holder, duty.fence, duty.ballots = member, entry.index, {}
            return Done(entry.index)
    if len(said) == len(able):
        duty.round, duty.ballots = duty.round + 1, {}
    return Done(entry.index)


def pending_ballots(ledger, me):
    """Return the (duty, round, candidate) votes that a member has yet to cast."""
    vacant = [(name, duty) for name, duty in ledger.duties.items() if duty.holder is None]
    if not vacant or me.name not in electors(ledger):
        return []
    return [
        (name, duty.round, nominee(ledger, name, duty.round)) for name, duty in vacant if me.name not in duty.ballots
    ]


def fencing_token(ledger, name, me):
    """Return the fencing token of a duty that a member holds, 0 if it does not hold it."""
    duty = ledger.duties.get(name)
    return duty.fence if duty and duty.holder == me else 0


def fencing_error(ledger, name, entry, fence):
    """Return Fenced if an operation does not carry the current fencing token of its duty, else None."""
    duty = ledger.duties.get(name)
    if duty is None or duty.holder != entry.sender or duty.fence != fence:
        return Fenced(duty.fence if duty else 0)
