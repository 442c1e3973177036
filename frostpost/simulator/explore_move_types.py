"""The kinds of moves that the model checker makes, as traces hold them."""

from msgspec import Struct


class Next(Struct, frozen=True, tag="next"):
    """The head of the queue is handled; if there is none, all timers fire. times: how often in a row."""

    times: int = 1


class Deliver(Struct, frozen=True, tag="deliver"):
    """A message or a disk's answer overtakes what is before it in the queue."""

    sender: str
    target: str
    kind: str


class Drop(Struct, frozen=True, tag="drop"):
    """A message is lost."""

    sender: str
    target: str
    kind: str


class Delay(Struct, frozen=True, tag="delay"):
    """A message or a disk's answer waits until the rest of the queue is handled and, if there is a clock, a tick on."""

    sender: str
    target: str
    kind: str


class Propose(Struct, frozen=True, tag="propose"):
    """A member proposes a configuration."""

    name: str
    members: tuple[str, ...]


class Remind(Struct, frozen=True, tag="remind"):
    """All timers of one replica fire: what it waits for is sent again."""

    name: str


class Crash(Struct, frozen=True, tag="crash"):
    """A replica's machine loses power; `kept` of the records that weren't synced last all the same."""

    name: str
    kept: int = 0


class Wipe(Struct, frozen=True, tag="wipe"):
    """A replica's machine and disk are lost."""

    name: str


class Restart(Struct, frozen=True, tag="restart"):
    """A replica that is down starts again on its disk."""

    name: str


class Ask(Struct, frozen=True, tag="ask"):
    """A replica asks for an operation to be ordered."""

    name: str


class Revote(Struct, frozen=True, tag="revote"):
    """A replica asks for other voters."""

    name: str
    after: tuple[str, ...]


class TakeSnapshot(Struct, frozen=True, tag="snapshot"):
    """A replica rewrites its log as a snapshot and what follows it."""

    name: str


class Cut(Struct, frozen=True, tag="cut"):
    """From now on messages of a replica to `to` and those of `from_` to it are lost."""

    name: str
    to: tuple[str, ...]
    from_: tuple[str, ...]


class Heal(Struct, frozen=True, tag="heal"):
    """All cuts end."""


class Freeze(Struct, frozen=True, tag="freeze"):
    """A replica's process stands still; what reaches it waits."""

    name: str


class Thaw(Struct, frozen=True, tag="thaw"):
    """A process that stood still runs on."""

    name: str


Move = (
    Next
    | Deliver
    | Drop
    | Delay
    | Propose
    | Remind
    | Crash
    | Wipe
    | Restart
    | Ask
    | Revote
    | TakeSnapshot
    | Cut
    | Heal
    | Freeze
    | Thaw
)
