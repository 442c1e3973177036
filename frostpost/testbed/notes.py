from time import monotonic

from msgspec import json


class Notes:
    __slots__ = ("file", "lines", "seconds", "tap")

    def __init__(self, path=None, seconds=monotonic):
        self.file = open(path, "ab", buffering=0) if path else None  # noqa: SIM115 - open as long as the notes are
        self.lines, self.seconds, self.tap = [], seconds, None

    def say(self, kind, **facts):
        note = {"kind": kind, "at_ms": int(self.seconds() * 1000), **facts}
        if self.file is not None:
            self.file.write(json.encode(note) + b"\n")
        else:
            self.lines.append(note)
        if self.tap is not None:
            self.tap(note)


def read(path):
    notes = []
    with open(path, "rb") as file:
        for raw in file:
            if raw.endswith(b"\n"):
                notes.append(json.decode(raw))
    return notes
