"""A small reader and writer of HTTP/1.1 messages, for the stand-ins on both sides of a front."""

from msgspec import Struct


class NoMessageError(Exception):
    """Bytes that are no message."""


class Message(Struct):
    start: bytes
    fields: dict[bytes, bytes]
    body: bytearray
    whole: bool = False


class Reader:
    """Tells on_data(message, bytes) and on_end(message); a body without a length ends with the connection."""

    def __init__(self, on_end, on_data=lambda message, data: None, answers=False):
        self.on_end, self.on_data, self.answers = on_end, on_data, answers
        self.held, self.state, self.left, self.message = b"", "head", 0, None

    def feed(self, data):
        self.held += data
        while self.held and getattr(self, "in_" + self.state)():
            pass

    def line(self, mark):
        head, found, rest = self.held.partition(mark)
        if not found:
            return None
        self.held = rest
        return head

    def in_head(self):
        if not self.answers:
            self.held = self.held.lstrip(b"\r\n")
        head = self.line(b"\r\n\r\n")
        if head is None:
            if self.answers and not b"HTTP/1.1 "[: len(self.held)] == self.held[:9]:
                raise NoMessageError(self.held[:40])
            return False
        start, *lines = head.split(b"\r\n")
        if self.answers and not start.startswith(b"HTTP/1."):
            raise NoMessageError(start[:40])
        fields = {}
        for line in lines:
            name, found, value = line.partition(b":")
            if not found:
                raise NoMessageError(line[:40])
            fields[name.strip().lower()] = value.strip()
        self.message = Message(start, fields, bytearray())
        if fields.get(b"transfer-encoding") == b"chunked":
            self.state = "size"
        elif b"content-length" in fields:
            self.left, self.state = int(fields[b"content-length"]), "length"
            if not self.left:
                return self.end()
        elif self.answers:
            self.state = "rest"
        else:
            return self.end()
        return True

    def take(self):
        data, self.held = self.held[: self.left], self.held[self.left :]
        self.left -= len(data)
        self.message.body += data
        self.on_data(self.message, data)

    def in_length(self):
        self.take()
        return self.end() if not self.left else False

    def in_rest(self):
        self.left = len(self.held)
        self.take()
        return False

    def in_size(self):
        line = self.line(b"\r\n")
        if line is None:
            return False
        try:
            self.left = int(line, 16)
        except ValueError:
            raise NoMessageError(line[:40]) from None
        self.state = "chunk" if self.left else "trailer"
        return True

    def in_chunk(self):
        self.take()
        if self.left:
            return False
        self.state = "gap"
        return True

    def in_gap(self):
        if len(self.held) < 2:
            return False
        if self.held[:2] != b"\r\n":
            raise NoMessageError(self.held[:40])
        self.held, self.state = self.held[2:], "size"
        return True

    def in_trailer(self):
        line = self.line(b"\r\n")
        if line is None:
            return False
        return True if line else self.end()

    def end(self):
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
    """(id, data) pairs of the whole events, and the bytes after the last one."""
    *whole, rest = bytes(body).split(b"\n\n")
    pairs = []
    for raw in whole:
        fields = dict(line.split(b": ", 1) for line in raw.split(b"\n") if b": " in line)
        pairs.append((fields.get(b"id", b"").decode(), fields.get(b"data", b"")))
    return pairs, rest
