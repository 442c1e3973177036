"""The types of moves that the model checker makes, in the form in which traces store them."""

from msgspec import Struct


class Next(Struct, frozen=True, tag="next"):
    """Handle the head of the queue, or run all timers if the queue is empty; repeated `times` times."""

    times: int = 1


class Deliver(Struct, frozen=True, tag="deliver"):
    """Handle a message or sync completion ahead of those before it in the queue."""

    sender: str
    target: str
    kind: str


class Drop(Struct, frozen=True, tag="drop"):
    """Lose a message."""

    sender: str
    target: str
    kind: str


class Delay(Struct, frozen=True, tag="delay"):
    """Delay a message or sync completion until the rest of the queue is handled and, with a clock, one tick more."""

    sender: str
    target: str
    kind: str


class Propose(Struct, frozen=True, tag="propose"):
    """Let a member propose a configuration."""

    name: str
    members: tuple[str, ...]


class FireTimers(Struct, frozen=True, tag="remind"):
    """Run all timers of one replica, which resends unanswered messages."""

    name: str


class Crash(Struct, frozen=True, tag="crash"):
    """Cut the power of a replica's machine; the first `kept` unsynced records survive."""

    name: str
    kept: int = 0


class Wipe(Struct, frozen=True, tag="wipe"):
    """Lose a replica's machine together with its disk."""

    name: str


class Restart(Struct, frozen=True, tag="restart"):
    """Restart a stopped replica from its disk."""

    name: str


class Submit(Struct, frozen=True, tag="ask"):
    """Let a replica submit an operation."""

    name: str


class ChangeVoters(Struct, frozen=True, tag="revote"):
    """Let a replica submit a change of voters."""

    name: str
    after: tuple[str, ...]


class TakeSnapshot(Struct, frozen=True, tag="snapshot"):
    """Let a replica rewrite its log as a snapshot and the entries after it."""

    name: str


class BlockLinks(Struct, frozen=True, tag="cut"):
    """Lose all messages from a replica to those in `to`, and to it from those in `from_`, until `RestoreLinks`."""

    name: str
    to: tuple[str, ...]
    from_: tuple[str, ...]


class RestoreLinks(Struct, frozen=True, tag="heal"):
    """Restore all blocked links."""


class Freeze(Struct, frozen=True, tag="freeze"):
    """Suspend a replica's process; messages to it are delayed."""

    name: str


class Thaw(Struct, frozen=True, tag="thaw"):
    """Resume a suspended process."""

    name: str


Move = (
    Next
    | Deliver
    | Drop
    | Delay
    | Propose
    | FireTimers
    | Crash
    | Wipe
    | Restart
    | Submit
    | ChangeVoters
    | TakeSnapshot
    | BlockLinks
    | RestoreLinks
    | Freeze
    | Thaw
)
