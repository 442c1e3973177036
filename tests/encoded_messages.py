"""Each message, log record, operation and result of the inner formats, filled with sample values and encoded.

The bytes were recorded before the types were renamed; they are named by union and tag, which a rename leaves alone.

    PYTHONPATH=tests python -m encoded_messages --record    record anew, after an intended change of a format
"""

import sys
from pathlib import Path
from typing import get_args

import msgspec
from msgspec import inspect

from frostpost.ledger.operations import Operation
from frostpost.program_ledger.messages import ProgramResult
from frostpost.virtual_synchrony.events import Record
from frostpost.virtual_synchrony.frames import Frame, Message

RECORDED = Path(__file__).parent / "data" / "encoded_messages.json"
# What got fields at its end later, as it was encoded before: a file for each such change.
EARLIER = sorted(RECORDED.parent.glob("encoded_messages_before_*.json"))
UNIONS = {"message": Message, "record": Record, "operation": Operation, "program result": ProgramResult}
DEPTH = 4


def sample(kind, serial=1, depth=DEPTH):
    """A value of a type as `msgspec.inspect` tells it; numbers and texts differ from field to field."""
    match kind:
        case inspect.IntType():
            return serial
        case inspect.BoolType():
            return serial % 2 == 1
        case inspect.FloatType():
            return serial / 2
        case inspect.StrType():
            return f"t{serial}"
        case inspect.BytesType():
            return b"b%d" % serial
        case inspect.StructType():
            return sample_struct(kind, serial, depth)
        case inspect.VarTupleType() | inspect.ListType():
            items = [sample(kind.item_type, serial + n, depth - 1) for n in range(2)] if depth > 0 else []
            return tuple(items) if isinstance(kind, inspect.VarTupleType) else items
        case inspect.TupleType():
            return tuple(sample(item, serial + n, depth) for n, item in enumerate(kind.item_types))
        case inspect.DictType():
            return {sample(kind.key_type, serial, depth): sample(kind.value_type, serial + 1, depth - 1)}
        case inspect.UnionType():
            return sample(next(t for t in kind.types if not isinstance(t, inspect.NoneType)), serial, depth)
        case inspect.AnyType() | inspect.RawType():
            return f"any{serial}"
    raise TypeError(f"no sample of {kind}")


def sample_struct(kind, serial, depth):
    """A struct with a sample in each field."""
    values = {f.name: sample(f.type, serial + n, depth) for n, f in enumerate(kind.fields)}
    return kind.cls(**values)


def samples():
    """Encoded samples by union and tag."""
    found = {}
    for name, union in UNIONS.items():
        for cls in get_args(union):
            info = inspect.type_info(cls)
            found[f"{name} {info.tag}"] = msgspec.msgpack.encode(sample(info)).hex()
    found["frame"] = msgspec.msgpack.encode(sample(inspect.type_info(Frame))).hex()
    return found


def decoder_of(name):
    """What decodes the recorded bytes of this name."""
    return msgspec.msgpack.Decoder(Frame if name == "frame" else UNIONS[name.rsplit(" ", 1)[0]])


def recorded(path=RECORDED):
    """The recorded bytes by union and tag, in hexadecimal."""
    return msgspec.json.decode(path.read_bytes(), type=dict[str, str])


if __name__ == "__main__" and sys.argv[1:] == ["--record"]:
    RECORDED.write_bytes(msgspec.json.format(msgspec.json.encode(samples()), indent=2) + b"\n")
