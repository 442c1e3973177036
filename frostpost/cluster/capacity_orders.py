"""Orders of runners, as the leader decides them from the demand that agents report."""


def capacity_orders(ctx, sessions, now_ms):
    """Return the SetCapacity operations that are to be submitted now; called at each round of usage collection."""
    return ()
