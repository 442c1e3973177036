"""Incremental parser for server-sent events."""

from msgspec import Struct


class Event(Struct, frozen=True):
    """A server-sent event. raw: its bytes including the terminating blank line. data: None if it has no data field."""

    raw: bytes
    id: str | None
    data: bytes | None


class EventParser:
    """Splits a body into complete events and buffers an incomplete one."""

    __slots__ = ("_held", "_from")

    def __init__(self):
        self._held, self._from = b"", 0

    def feed(self, data):
        """Return the events completed by `data`, in order."""
        held = self._held + data if self._held else data
        events, start, line, size = [], 0, self._from, len(held)
        while True:
            end, after = _line_end(held, line, size)
            if end < 0:
                break
            if end == line:
                events.append(_event(held[start:after]))
                start = after
            line = after
        self._held, self._from = held[start:], line - start
        return events

    def rest(self):
        """Return the buffered bytes of the incomplete event."""
        return self._held


def _line_end(held, line, size):
    feed = held.find(b"\n", line)
    turn = held.find(b"\r", line, feed if feed >= 0 else size)
    if turn < 0:
        return (feed, feed + 1) if feed >= 0 else (-1, -1)
    if turn + 1 == size:
        return -1, -1
    return turn, turn + 2 if held[turn + 1] == 10 else turn + 1


def _event(raw):
    name, payload = None, None
    for line in raw.replace(b"\r\n", b"\n").replace(b"\r", b"\n").split(b"\n"):
        field, _, value = line.partition(b":")
        if value[:1] == b" ":
            value = value[1:]
        if field == b"data":
            payload = value if payload is None else payload + b"\n" + value
        elif field == b"id" and b"\0" not in value:
            name = value.decode("utf-8", "replace")
    return Event(raw, name, payload)
