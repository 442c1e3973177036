"""Event log of stand-ins, as JSON lines in a file or in memory."""

from time import monotonic

from msgspec import json


class EventLog:
    """Writes events to a file, or keeps them in `lines`.

    `on_event` is called with each event, if set.
    """

    __slots__ = ("file", "lines", "seconds", "on_event")

    def __init__(self, path=None, seconds=monotonic):
        self.file = open(path, "ab", buffering=0) if path else None  # noqa: SIM115 - stays open as long as the log
        self.lines, self.seconds, self.on_event = [], seconds, None

    def record(self, kind, **fields):
        """Record an event with the current time in milliseconds."""
        event = {"kind": kind, "at_ms": int(self.seconds() * 1000), **fields}
        if self.file is not None:
            self.file.write(json.encode(event) + b"\n")
        else:
            self.lines.append(event)
        if self.on_event is not None:
            self.on_event(event)


def read_events(path):
    """Return the events of a file; an incomplete last line is ignored."""
    events = []
    with open(path, "rb") as file:
        for line in file:
            if line.endswith(b"\n"):
                events.append(json.decode(line))
    return events
