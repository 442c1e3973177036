"""Notes of what happened, as JSON lines or in memory."""

from time import monotonic

from msgspec import json


class Notes:
    """Writes notes to a file or keeps them."""

    __slots__ = ("file", "lines", "seconds", "tap")

    def __init__(self, path=None, seconds=monotonic):
        self.file = open(path, "ab", buffering=0) if path else None  # noqa: SIM115 - open as long as the notes are
        self.lines, self.seconds, self.tap = [], seconds, None

    def say(self, kind, **facts):
        """Add a note with the time in milliseconds."""
        note = {"kind": kind, "at_ms": int(self.seconds() * 1000), **facts}
        if self.file is not None:
            self.file.write(json.encode(note) + b"\n")
        else:
            self.lines.append(note)
        if self.tap is not None:
            self.tap(note)


def read(path):
    """Return the notes of a file."""
    notes = []
    with open(path, "rb") as file:
        for raw in file:
            if raw.endswith(b"\n"):
                notes.append(json.decode(raw))
    return notes
