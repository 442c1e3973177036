"""Names, roles and the sequencer of a configuration's members."""

from .durable_log import NO_CONFIGURATION


def member_names(configuration):
    """Return the members' names, in the configuration's order."""
    return [member.name for member in configuration.members]


def role_of(synchrony, name):
    """Return the role of the member with this name; "edge" if it is unknown."""
    if name == synchrony.name:
        return synchrony.endpoint.role
    peer = synchrony.peers.get(name)
    return peer.endpoint.role if peer else "edge"


def member_of(synchrony, name):
    """Return the member with this name: the local member or a peer."""
    return synchrony.local_member if name == synchrony.name else synchrony.peers[name].endpoint.member


def sequencer_of(synchrony):
    """Return the name of the sequencer of the installed configuration."""
    return synchrony.configuration.sequencer


def last_primary_of(synchrony, name):
    """Return the newest primary to which the log of the member with this name is bound, as far as is known."""
    if name == synchrony.name:
        return synchrony.log.primary
    peer = synchrony.peers.get(name)
    return peer.last_primary if peer else NO_CONFIGURATION


def elect_sequencer(synchrony, members):
    """Return the name of the first member with role core, or else of the first with a log of the newest primary.

    A member whose log belongs to an older primary lacks entries; as the sequencer it would delay the opening of the
    primary until it has caught up.
    """
    names = sorted(member.name for member in members)
    core = next((name for name in names if role_of(synchrony, name) == "core"), None)
    if core is not None:
        return core
    newest_primary = max(last_primary_of(synchrony, name) for name in names)
    return next(name for name in names if last_primary_of(synchrony, name) == newest_primary)


ROLE_ORDER = {"storage": 0, "core": 1, "edge": 2}
