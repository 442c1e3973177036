"""Reading a runner's answer: head, body and whatever comes after it."""

from twisted.web._newclient import HTTPParser, ParseError
from twisted.web.http import _ChunkedTransferDecoder, _IdentityTransferDecoder

BODYLESS = (204, 304)
HEAD_LINES = 256


class ResponseParser(HTTPParser):
    """Tells on_head(status, headers), on_data(bytes), then on_whole(surplus bytes)."""

    def __init__(self, bodyless, on_head, on_data, on_whole):
        self.bodyless, self.on_head, self.on_data, self.on_whole = bodyless, on_head, on_data, on_whole
        self.fields, self.status = [], 0

    def statusReceived(self, status):
        parts = status.split(b" ", 2)
        if len(parts) < 2 or not parts[0].startswith(b"HTTP/1.") or len(parts[1]) != 3 or not parts[1].isdigit():
            raise ParseError("no status line", status)
        self.status = int(parts[1])

    def headerReceived(self, name, value):
        if not name or name != name.strip() or len(self.fields) >= HEAD_LINES:
            raise ParseError("bad header", name)
        self.fields.append((name, value))

    def allHeadersReceived(self):
        if self.status == 101 or self.status < 100:
            raise ParseError("not an answer", b"%d" % self.status)
        if self.status < 200:
            self.fields = []
            return self.connectionMade()
        lengths = {v for n, v in self.fields if n.lower() == b"content-length"}
        codings = [v.lower() for n, v in self.fields if n.lower() == b"transfer-encoding"]
        if codings not in ([], [b"chunked"]) or len(lengths) > 1 or (codings and lengths):
            raise ParseError("unclear length", b"")
        length = _length(lengths)
        self.on_head(self.status, self.fields)
        if self.bodyless or self.status in BODYLESS or length == 0 and not codings:
            return self._whole(self.clearLineBuffer())
        if codings:
            return self.switchToBodyMode(_ChunkedTransferDecoder(self.on_data, self._whole))
        # Without a length the body ends with the connection, which proves nothing.
        return self.switchToBodyMode(_IdentityTransferDecoder(length, self.on_data, self._whole))

    def lineLengthExceeded(self, line):
        raise ParseError("line too long", b"")

    def _whole(self, rest):
        self.state = "DONE"
        self.on_whole(rest)


def _length(lengths):
    for value in lengths:
        if not value.isdigit():
            raise ParseError("bad length", value)
        return int(value)
    return None
