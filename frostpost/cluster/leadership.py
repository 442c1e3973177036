"""Whether a replica leads."""

from frostpost.virtual_synchrony.members import sequencer_of


def is_sequencer(ctx):
    """Whether this replica leads: it sequences in an opened primary component, with no recovery in progress."""
    synchrony = ctx.core.synchrony
    return synchrony.primary.opened and not synchrony.recovery and sequencer_of(synchrony) == synchrony.name
