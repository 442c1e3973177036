"""Majorities of voters."""


def is_majority(voters, present):
    """Whether more than half of the voters are present; False without voters."""
    return len(voters) > 0 and sum(v in present for v in voters) * 2 > len(voters)


def has_quorums(primary, present):
    """Whether a majority of the primary's voters, and of each set that may follow them, is present."""
    return all(is_majority(v, present) for v in (primary.voters, *primary.pending_voters))
