"""Majorities of voters."""


def is_majority(voters, present):
    """Return whether more than half of the voters are present; False without voters."""
    return len(voters) > 0 and sum(voter in present for voter in voters) * 2 > len(voters)


def majority_watermark(voters, watermarks):
    """Return the highest watermark that more than half of the voters have descending; 0 without voters.

    watermarks: watermarks by name; missing voters count as 0.
    """
    if not voters:
        return 0
    descending = sorted((watermarks.get(voter, 0) for voter in voters), reverse=True)
    return descending[len(voters) // 2]


def has_quorums(primary, present):
    """Return whether a majority of the primary's voters, and of each set that may replace them, is present."""
    return all(is_majority(voters, present) for voters in (primary.voters, *primary.pending_voters))
