"""Minimal HTTP/1.1 parser and serializer for simulated clients, runners and platform services."""

from msgspec import Struct


class InvalidMessageError(Exception):
    """The received bytes are not a valid HTTP/1.1 message."""


class Message(Struct):
    start: bytes
    fields: dict[bytes, bytes]
    body: bytearray
    whole: bool = False
    lines: list[tuple[bytes, bytes]] = []


class Reader:
    """Incremental parser that calls on_data(message, bytes) and on_end(message).

    A response body without a length ends with the connection.
    """

    def __init__(self, on_end, on_data=lambda message, data: None, answers=False):
        self.on_end, self.on_data, self.answers = on_end, on_data, answers
        self.buffer, self.state, self.remaining, self.message = b"", "head", 0, None

    def feed(self, data):
        self.buffer += data
        while self.buffer and getattr(self, "in_" + self.state)():
            pass

    def read_until(self, delimiter):
        head, found, rest = self.buffer.partition(delimiter)
        if not found:
            return None
        self.buffer = rest
        return head

    def in_head(self):
        if not self.answers:
            self.buffer = self.buffer.lstrip(b"\r\n")
        head = self.read_until(b"\r\n\r\n")
        if head is None:
            if self.answers and not b"HTTP/1.1 "[: len(self.buffer)] == self.buffer[:9]:
                raise InvalidMessageError(self.buffer[:40])
            return False
        start, *lines = head.split(b"\r\n")
        if self.answers and not start.startswith(b"HTTP/1."):
            raise InvalidMessageError(start[:40])
        fields, pairs = {}, []
        for line in lines:
            name, found, value = line.partition(b":")
            if not found:
                raise InvalidMessageError(line[:40])
            fields[name.strip().lower()] = value.strip()
            pairs.append((name, value.strip()))
        self.message = Message(start, fields, bytearray(), lines=pairs)
        if fields.get(b"transfer-encoding") == b"chunked":
            self.state = "size"
        elif b"content-length" in fields:
            self.remaining, self.state = int(fields[b"content-length"]), "length"
            if not self.remaining:
                return self.finish_message()
        elif self.answers:
            self.state = "rest"
        else:
            return self.finish_message()
        return True

    def consume_body(self):
        data, self.buffer = self.buffer[: self.remaining], self.buffer[self.remaining :]
        self.remaining -= len(data)
        self.message.body += data
        self.on_data(self.message, data)

    def in_length(self):
        self.consume_body()
        return self.finish_message() if not self.remaining else False

    def in_rest(self):
        self.remaining = len(self.buffer)
        self.consume_body()
        return False

    def in_size(self):
        line = self.read_until(b"\r\n")
        if line is None:
            return False
        try:
            self.remaining = int(line, 16)
        except ValueError:
            raise InvalidMessageError(line[:40]) from None
        self.state = "chunk" if self.remaining else "trailer"
        return True

    def in_chunk(self):
        self.consume_body()
        if self.remaining:
            return False
        self.state = "gap"
        return True

    def in_gap(self):
        if len(self.buffer) < 2:
            return False
        if self.buffer[:2] != b"\r\n":
            raise InvalidMessageError(self.buffer[:40])
        self.buffer, self.state = self.buffer[2:], "size"
        return True

    def in_trailer(self):
        line = self.read_until(b"\r\n")
        if line is None:
            return False
        return True if line else self.finish_message()

    def finish_message(self):
        message, self.message, self.state = self.message, None, "head"
        message.whole = True
        self.on_end(message)
        return True


def write(start, fields, body=b""):
    lines = [start, *(b"%s: %s" % (name, value) for name, value in fields)]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def events_of(body):
    """Return the (id, data) pairs of the complete server-sent events and the bytes after the last one."""
    *whole, rest = bytes(body).split(b"\n\n")
    pairs = []
    for raw in whole:
        fields = dict(line.split(b": ", 1) for line in raw.split(b"\n") if b": " in line)
        pairs.append((fields.get(b"id", b"").decode(), fields.get(b"data", b"")))
    return pairs, rest
