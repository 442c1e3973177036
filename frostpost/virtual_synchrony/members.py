"""Names, roles and the sequencer of a configuration's members."""


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


def elect_sequencer(synchrony, members):
    """Return the name of the first member with role core, or of the first member if there is none."""
    names = sorted(member.name for member in members)
    return next((name for name in names if role_of(synchrony, name) == "core"), names[0])


ROLE_ORDER = {"storage": 0, "core": 1, "edge": 2}
