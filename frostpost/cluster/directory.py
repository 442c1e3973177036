"""The directory of replicas that a seed sends, and what it last sent to each replica."""

from msgspec import Struct

from frostpost.virtual_synchrony.agent_messages import DirectoryReply
from frostpost.virtual_synchrony.endpoints import Member

from .agent_context import now_ms

REPEAT_MS = 60_000


class SentDirectory(Struct, frozen=True):
    """The last directory sent to a replica, and when."""

    member: Member
    directory: DirectoryReply
    at_ms: int


def current(agent):
    """The current directory."""
    return DirectoryReply(tuple(agent.directory.values()), agent.bootstrap_voters)


def make_directory(agent, endpoint):
    """Returns the current directory and records it as sent to the replica."""
    message = current(agent)
    agent.sent_directories[endpoint.member.name] = SentDirectory(endpoint.member, message, now_ms(agent))
    return message


def is_update_due(agent, endpoint):
    """Whether the directory changed since it was last sent to the replica, or was sent long ago."""
    sent = agent.sent_directories.get(endpoint.member.name)
    if sent is None or sent.member != endpoint.member or now_ms(agent) - sent.at_ms >= REPEAT_MS:
        return True
    return sent.directory != current(agent)
