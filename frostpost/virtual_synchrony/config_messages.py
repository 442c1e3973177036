"""Messages by which daemons replicate configuration documents."""

from msgspec import Struct


class ConfigBodyRequest(Struct, frozen=True, array_like=True, tag=18):
    """Requests the body of the configuration document with this digest, from byte `offset` on."""

    digest: str
    offset: int


class ConfigBodyChunk(Struct, frozen=True, array_like=True, tag=19):
    """A part of the body of a configuration document. total: size of the body in bytes."""

    digest: str
    offset: int
    total: int
    data: bytes


class ConfigVersionsRequest(Struct, frozen=True, array_like=True, tag=20):
    """Requests the versions of configuration documents that are not covered by the version vector."""

    vector: dict[str, int]


class ConfigVersionsReply(Struct, frozen=True, array_like=True, tag=21):
    """Versions of documents, each as path, version, digest and size in bytes."""

    items: tuple[tuple[str, int, str, int], ...]
