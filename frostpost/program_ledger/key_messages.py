"""Operations on operation keys and their results; `credential` is as in `messages.BeginAttempt`."""

from msgspec import Struct


class ClaimOperationKey(Struct, array_like=True, frozen=True, tag="claimKey"):
    """Claim an operation key for an attempt."""

    key: str
    attempt: str
    window_ms: int
    credential: str = ""


class ResolveOperationKey(Struct, array_like=True, frozen=True, tag="resolveKey"):
    """Record the answer of a claimed key."""

    key: str
    attempt: str
    answer: bytes
    credential: str = ""


class ReleaseOperationKey(Struct, array_like=True, frozen=True, tag="disclaimKey"):
    """Release a claimed key whose request was not executed and will not be."""

    key: str
    attempt: str
    credential: str = ""


class KeyClaimed(Struct, array_like=True, frozen=True, tag="claimed"):
    """The attempt owns the key."""


class KeyInProgress(Struct, array_like=True, frozen=True, tag="KeyAtWork"):
    """Another attempt owns the key, which has no answer yet."""


class KeyAnswered(Struct, array_like=True, frozen=True, tag="keyAnswered"):
    """The key has an answer."""

    answer: bytes


KeyOperation = ClaimOperationKey | ResolveOperationKey | ReleaseOperationKey
KeyResult = KeyClaimed | KeyInProgress | KeyAnswered
