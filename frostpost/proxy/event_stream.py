"""Incremental parser for server-sent events."""

from msgspec import Struct


class Event(Struct, frozen=True):
    """A server-sent event. raw: its bytes including the terminating blank line. data: None if it has no data field."""

    raw: bytes
    id: str | None
    data: bytes | None


class EventParser:
    """Splits a body into complete events and buffers an incomplete one."""

    __slots__ = ("_buffer", "_line_start")

    def __init__(self):
        self._buffer, self._line_start = b"", 0

    def feed(self, data):
        """Return the events completed by `data`, in order."""
        buffer = self._buffer + data if self._buffer else data
        events, start, line_start, size = [], 0, self._line_start, len(buffer)
        while True:
            end, after = _find_line_end(buffer, line_start, size)
            if end < 0:
                break
            if end == line_start:
                events.append(_parse_event(buffer[start:after]))
                start = after
            line_start = after
        self._buffer, self._line_start = buffer[start:], line_start - start
        return events

    def pending_bytes(self):
        """Return the buffered bytes of the incomplete event."""
        return self._buffer


def _find_line_end(buffer, line_start, size):
    line_feed = buffer.find(b"\n", line_start)
    carriage_return = buffer.find(b"\r", line_start, line_feed if line_feed >= 0 else size)
    if carriage_return < 0:
        return (line_feed, line_feed + 1) if line_feed >= 0 else (-1, -1)
    if carriage_return + 1 == size:
        return -1, -1
    return carriage_return, carriage_return + 2 if buffer[carriage_return + 1] == 10 else carriage_return + 1


def _parse_event(raw):
    event_id, payload = None, None
    for line in raw.replace(b"\r\n", b"\n").replace(b"\r", b"\n").split(b"\n"):
        field, _, value = line.partition(b":")
        if value[:1] == b" ":
            value = value[1:]
        if field == b"data":
            payload = value if payload is None else payload + b"\n" + value
        elif field == b"id" and b"\0" not in value:
            event_id = value.decode("utf-8", "replace")
    return Event(raw, event_id, payload)
