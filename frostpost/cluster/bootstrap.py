"""The charter: the names of the founding voters, made once, by one seed, at the first start of the whole system.

The founder hands it out only after every other seed keeps it on disk, and proposes one only after every other seed has
told what it keeps. So no second charter can be made while the disk of one seed is left.
"""

from msgspec import Struct, msgpack

from frostpost.daemon.news import say
from frostpost.virtual_synchrony.agent_messages import BootstrapReply, BootstrapRequest
from frostpost.write_ahead_log import disk as write_ahead_logs

from .agent_context import now_ms
from .lease_client import NEVER

STILL_MS = 700
FEW_MS = 5000
ASK_MS = STILL_MS // 5
COPIES = 2
encode, decode = msgpack.encode, msgpack.decode


class Founding(Struct):
    """waiting: storage daemons on empty disks at a first start, with when each was first heard.

    kept: the charter that this seed keeps for the founder. heard: by other seed, what it said to keep when asked.
    proposed: what the founder asks all others to keep. taken: the other seeds that keep it.
    """

    write_ahead_log: object = None
    kept_log: object = None
    kept: tuple[str, ...] = ()
    waiting: dict[str, int] = {}
    writing: bool = False
    heard: dict[str, tuple[str, ...]] = {}
    proposed: tuple[str, ...] = ()
    taken: set[str] = set()
    asked_ms: int = NEVER


def begin(leaf):
    """Read the charter of this daemon's disk, and the one that it keeps for the founder."""
    if not leaf.settings.data:
        return
    write_ahead_log, charter, intact = read(leaf, "charter")
    kept_log, kept, kept_intact = read(leaf, "kept-charter")
    if intact:
        leaf.charter = charter
        leaf.extras["founding"] = Founding(write_ahead_log, kept_log if kept_intact else None, kept)


def read(leaf, name):
    """-> (log, the charter in it, whether it is intact)"""
    log, payloads, fault = write_ahead_logs.open_(leaf.settings.data, name, leaf.machine.files)
    if fault:
        say(type(fault).__name__, path=fault.path, offset=fault.offset)
    intact = not isinstance(fault, write_ahead_logs.Corrupt)
    return log, tuple(decode(payloads[-1])) if payloads and intact else (), intact


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
    """Make the charter once the storage daemons have stopped coming and all other seeds keep it."""
    if not pending(leaf):
        return
    founding = leaf.extras["founding"]
    if not founding.proposed:
        founding.proposed = chosen(leaf, founding)
    if not founding.proposed:
        return
    lacking = [seed for seed in others(leaf) if seed not in founding.taken]
    if lacking:
        ask(leaf, lacking, founding.proposed)
        return
    names, founding.writing = founding.proposed, True
    leaf.machine.in_thread(write, founding.write_ahead_log, names).addCallbacks(
        written, failed, (leaf, names), None, (leaf,)
    )


def others(leaf):
    """The inner addresses of the other seeds."""
    own = f"{leaf.settings.host}:{leaf.settings.port}"
    return [seed for seed in dict.fromkeys(leaf.settings.seeds) if seed != own]


def chosen(leaf, founding):
    """The charter to propose: what another seed keeps, or those that wait; empty while that can't be told.

    Nothing is proposed before all other seeds have answered: a founder whose disk was lost finds the charter with any
    one of them.
    """
    waiting, now = founding.waiting, now_ms(leaf)
    if not waiting or now - max(waiting.values()) < STILL_MS:
        return ()
    few = len(waiting) < leaf.settings.least_replicas
    if few and now - min(waiting.values()) < FEW_MS:
        return ()
    silent = [seed for seed in others(leaf) if seed not in founding.heard]
    if silent:
        ask(leaf, silent, ())
        return ()
    kept = [names for names in founding.heard.values() if names]
    return min(kept, default=tuple(sorted(waiting)))


def ask(leaf, seeds, names):
    """Ask other seeds what they keep, or to keep these names; again and again until they answer."""
    founding, now = leaf.extras["founding"], now_ms(leaf)
    if now - founding.asked_ms < ASK_MS and founding.asked_ms != NEVER:
        return
    founding.asked_ms = now
    for seed in seeds:
        leaf.links["send"](f"@{seed}", BootstrapRequest(names))


def asked(leaf, endpoint, message):
    """Another seed asks what this one keeps, or to keep a charter."""
    founding = leaf.extras.get("founding")
    if founding is None or founding.kept_log is None or founding.writing:
        return

    def answer(_=None):
        leaf.links["send"](f"@{endpoint.host}:{endpoint.port}", BootstrapReply(founding.kept or leaf.charter))

    def kept(_):
        founding.kept, founding.writing = message.names, False
        answer()

    if not message.names or message.names == founding.kept:
        return answer()
    founding.writing = True
    leaf.machine.in_thread(write, founding.kept_log, message.names).addCallbacks(kept, failed, None, None, (leaf,))
    return None


def held(leaf, endpoint, message):
    """Another seed tells what it keeps."""
    founding, seed = leaf.extras.get("founding"), f"{endpoint.host}:{endpoint.port}"
    if founding is None or not pending(leaf) or seed not in others(leaf):
        return
    answered = founding.taken if founding.proposed else founding.heard
    before = len(answered)
    if not founding.proposed:
        founding.heard[seed] = message.names
    elif message.names == founding.proposed:
        founding.taken.add(seed)
    if before < len(answered) == len(others(leaf)):
        founding.asked_ms = NEVER
        tend(leaf)


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
