"""The charter: the names of the founding voters, made once, by one seed, at the first start of the whole system."""

from msgspec import Struct, msgpack

from frostpost.daemon.news import say
from frostpost.write_ahead_log import disk as write_ahead_logs

from .context import now_ms

STILL_MS = 700
FEW_MS = 5000
COPIES = 2
encode, decode = msgpack.encode, msgpack.decode


class Founding(Struct):
    """waiting: storage daemons on empty disks at a first start, with when each was first heard."""

    write_ahead_log: object = None
    waiting: dict[str, int] = {}
    writing: bool = False


def begin(leaf):
    """Read the charter of this daemon's disk."""
    if not leaf.settings.data:
        return
    write_ahead_log, payloads, fault = write_ahead_logs.open_(leaf.settings.data, "charter", leaf.machine.files)
    if fault:
        say(type(fault).__name__, path=fault.path, offset=fault.offset)
    if isinstance(fault, write_ahead_logs.Corrupt):
        return
    if payloads:
        leaf.charter = tuple(decode(payloads[-1]))
    leaf.extras["founding"] = Founding(write_ahead_log)


def founder(leaf):
    """Whether this daemon is the one that may make the charter."""
    own = f"{leaf.settings.host}:{leaf.settings.port}"
    first = min(leaf.settings.seeds, key=lambda s: [int(p) for p in s.replace(":", ".").split(".")], default="")
    return leaf.settings.first_start and own == first


def waits(leaf, name):
    """A storage daemon at its first start asks for the charter."""
    founding = leaf.extras.get("founding")
    if founding is not None:
        founding.waiting.setdefault(name, now_ms(leaf))


def pending(leaf):
    """Whether this daemon has a charter to make."""
    founding = leaf.extras.get("founding")
    return founding is not None and not leaf.charter and not founding.writing and founder(leaf)


def tend(leaf):
    """Make the charter once the storage daemons have stopped coming."""
    if not pending(leaf):
        return
    founding = leaf.extras["founding"]
    waiting = founding.waiting
    if not waiting or now_ms(leaf) - max(waiting.values()) < STILL_MS:
        return
    few = len(waiting) < 2 * leaf.settings.tolerated + 1
    if few and now_ms(leaf) - min(waiting.values()) < FEW_MS:
        return
    names, founding.writing = tuple(sorted(waiting)), True
    leaf.machine.in_thread(write, founding.write_ahead_log, names).addCallbacks(
        written, failed, (leaf, names), None, (leaf,)
    )


def write(write_ahead_log, names):
    """Each copy is synced before the next is written: the later one proves that the first was there."""
    for _ in range(COPIES):
        write_ahead_logs.append(write_ahead_log, [encode(names)])
        write_ahead_logs.sync(write_ahead_log)


def written(_, leaf, names):
    leaf.charter, leaf.extras["founding"].writing = names, False
    say("charter", voters=list(names))


def failed(failure, leaf):
    leaf.extras["founding"].writing = False
    say("DiskError", type=failure.type.__name__)
