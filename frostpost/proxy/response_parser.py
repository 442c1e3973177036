"""Strict parser for runners' HTTP/1.x responses."""

import re

from twisted.web._newclient import HEADER, HTTPParser, ParseError
from twisted.web.http import _ChunkedTransferDecoder, _IdentityTransferDecoder, _MalformedChunkedDataError

BODYLESS_STATUSES = (204, 304)
MAX_HEADERS = 256
MAX_LENGTH_DIGITS = 18
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([0-9]{3})(?: [^\0\r]*)?")
HEADER_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")


class InvalidResponseError(Exception):
    """The bytes are not a valid response."""


class ResponseParser(HTTPParser):
    """Calls on_head(status, headers), on_data(bytes) and finally on_complete(surplus bytes)."""

    def __init__(self, bodyless, on_head, on_data, on_complete):
        """bodyless: the response has no body whatever its head declares, as for HEAD."""
        self.bodyless, self.on_head, self.on_data, self.on_complete = bodyless, on_head, on_data, on_complete
        self.fields, self.status, self.minor_version = [], 0, 1

    def read(self, data):
        """Parse bytes; raises InvalidResponseError if they are not a valid response."""
        try:
            self.dataReceived(data)
        except (ParseError, _MalformedChunkedDataError, ValueError) as error:
            raise InvalidResponseError(type(error).__name__) from error

    def lineReceived(self, line):
        """Reject a folded line before the first header; parse any other line."""
        if self.state == HEADER and line[:1] in (b" ", b"\t") and self._partialHeader is None:
            raise ParseError("folded line before any header", line)
        super().lineReceived(line)

    def statusReceived(self, status):
        """Parse the status line."""
        match = STATUS_LINE.fullmatch(status)
        if match is None:
            raise ParseError("malformed status line", status)
        self.minor_version, self.status = int(match[1]), int(match[2])

    def headerReceived(self, name, value):
        """Validate and store one header."""
        if not HEADER_NAME.fullmatch(name) or b"\r" in value or b"\0" in value or len(self.fields) >= MAX_HEADERS:
            raise ParseError("invalid header", name)
        self.fields.append((name, value))

    def allHeadersReceived(self):
        """Determine the body framing and report the head."""
        if self.status == 101 or self.status < 100:
            raise ParseError("unexpected status", b"%d" % self.status)
        if self.status < 200:
            self.fields = []
            return self.connectionMade()
        lengths = {v for n, v in self.fields if n.lower() == b"content-length"}
        codings = [v.lower() for n, v in self.fields if n.lower() == b"transfer-encoding"]
        if codings not in ([], [b"chunked"]) or len(lengths) > 1 or (codings and (lengths or not self.minor_version)):
            raise ParseError("ambiguous body length", b"")
        length = _parse_length(lengths)
        self.on_head(self.status, self.fields)
        if self.bodyless or self.status in BODYLESS_STATUSES or length == 0 and not codings:
            return self._complete(self.clearLineBuffer())
        if codings:
            return self.switchToBodyMode(_ChunkedTransferDecoder(self.on_data, self._complete))
        # A close-delimited body can't be told from a truncated one, so it never completes.
        return self.switchToBodyMode(_IdentityTransferDecoder(length, self.on_data, self._complete))

    def lineLengthExceeded(self, line):
        """Reject an overlong line."""
        raise ParseError("line too long", b"")

    def _complete(self, surplus):
        self.state = "DONE"
        self.on_complete(surplus)


def _parse_length(lengths):
    for value in lengths:
        if not value.isdigit() or len(value) > MAX_LENGTH_DIGITS:
            raise ParseError("invalid Content-Length", value)
        return int(value)
    return None
