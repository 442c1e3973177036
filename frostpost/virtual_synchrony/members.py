"""The members of a configuration: their names and roles, and which of them orders."""


def member_names(configuration):
    """The members' names, in order."""
    return [m.name for m in configuration.members]


def role_of(synchrony, name):
    """The role of a member by name; "edge" if it isn't known."""
    if name == synchrony.name:
        return synchrony.endpoint.role
    peer = synchrony.peers.get(name)
    return peer.endpoint.role if peer else "edge"


def member_of(synchrony, name):
    """The member of that name, this one or a peer."""
    return synchrony.local_member if name == synchrony.name else synchrony.peers[name].endpoint.member


def sequencer_of(synchrony):
    """The name of the member that orders in the installed configuration."""
    return synchrony.configuration.sequencer


def elect_sequencer(synchrony, members):
    """The name of the member that is to order: the first of role core, else the first."""
    held = sorted(m.name for m in members)
    return next((n for n in held if role_of(synchrony, n) == "core"), held[0])


ROLE_ORDER = {"storage": 0, "core": 1, "edge": 2}
