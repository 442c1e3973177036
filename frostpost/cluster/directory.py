"""The directory of replicas as a seed tells it, and what it has told to whom."""

from msgspec import Struct

from frostpost.virtual_synchrony.agent_messages import DirectoryReply
from frostpost.virtual_synchrony.endpoints import Member

from .agent_context import now_ms

REPEAT_MS = 60_000


class SentDirectory(Struct, frozen=True):
    """What one replica was told last, and when."""

    member: Member
    directory: DirectoryReply
    at_ms: int


def current(agent):
    """The directory as this daemon knows it now."""
    return DirectoryReply(tuple(agent.directory.values()), agent.bootstrap_voters)


def make_directory(agent, endpoint):
    """The directory for the replica at that place; it is noted as told."""
    message = current(agent)
    agent.sent_directories[endpoint.member.name] = SentDirectory(endpoint.member, message, now_ms(agent))
    return message


def is_update_due(agent, endpoint):
    """Whether the replica at that place lacks something of the directory, or was told long ago."""
    told = agent.sent_directories.get(endpoint.member.name)
    if told is None or told.member != endpoint.member or now_ms(agent) - told.at_ms >= REPEAT_MS:
        return True
    return told.directory != current(agent)
