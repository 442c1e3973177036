"""Messages by which daemons of the own interface pull configuration documents from each other."""

from msgspec import Struct


class ConfigBodyRequest(Struct, frozen=True, array_like=True, tag=18):
    """Asks for the body of a configuration document from byte `offset` on, by digest."""

    digest: str
    offset: int


class ConfigBodyChunk(Struct, frozen=True, array_like=True, tag=19):
    """Bytes of a configuration document's body; total: its length in bytes."""

    digest: str
    offset: int
    total: int
    data: bytes


class ConfigVersionsRequest(Struct, frozen=True, array_like=True, tag=20):
    """Asks for versions of configuration documents beyond those in the vector, by path."""

    vector: dict[str, int]


class ConfigVersionsReply(Struct, frozen=True, array_like=True, tag=21):
    """Versions of documents: path, version, digest and size in bytes."""

    items: tuple[tuple[str, int, str, int], ...]
