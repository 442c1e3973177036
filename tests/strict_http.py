"""A strict reader of HTTP/1.1 requests (RFC 9112), to compare what the daemons read with."""

import re

from msgspec import Struct

TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
TARGET = re.compile(rb"[!-~]+")
DIGITS = re.compile(rb"[0-9]+")
HEX = re.compile(rb"[0-9A-Fa-f]+")
FORBIDDEN = (b"\0", b"\r", b"\n")


class InvalidError(Exception):
    """The bytes are no proper request."""


class IncompleteError(Exception):
    """More bytes have to come before the request is whole."""


class ReadRequest(Struct):
    """One request as a strict server reads it."""

    method: bytes
    target: bytes
    version: bytes
    fields: list[tuple[bytes, bytes]]
    body: bytes


def line_of(data, at):
    """(line, where the next one begins)."""
    end = data.find(b"\r\n", at)
    if end < 0:
        raise IncompleteError
    return data[at:end], end + 2


def read_fields(data, at):
    """(fields, where the body begins); a folded line counts as a blank in its value."""
    fields = []
    while True:
        line, at = line_of(data, at)
        if not line:
            return fields, at
        if line[:1] in (b" ", b"\t") and fields:
            fields[-1] = (fields[-1][0], fields[-1][1] + b" " + line.strip(b" \t"))
        else:
            name, colon, value = line.partition(b":")
            if not colon or not TOKEN.fullmatch(name):
                raise InvalidError(line)
            fields.append((name, value.strip(b" \t")))
        if any(byte in fields[-1][1] for byte in FORBIDDEN):
            raise InvalidError(line)


def read_chunks(data, at):
    """(body, where what follows it begins)."""
    body = b""
    while True:
        line, at = line_of(data, at)
        size = line.partition(b";")[0]
        if not HEX.fullmatch(size):
            raise InvalidError(line)
        left = int(size, 16)
        if not left:
            break
        if len(data) < at + left + 2:
            raise IncompleteError
        body += data[at : at + left]
        if data[at + left : at + left + 2] != b"\r\n":
            raise InvalidError(data[at + left :])
        at += left + 2
    while True:
        line, at = line_of(data, at)
        if not line:
            return body, at


def read_body(data, at, fields):
    """(body, where what follows it begins), by the one length that the fields give."""
    lengths = [value for name, value in fields if name.lower() == b"content-length"]
    codings = [value.lower() for name, value in fields if name.lower() == b"transfer-encoding"]
    if codings and (lengths or codings != [b"chunked"]):
        raise InvalidError(codings)
    if codings:
        return read_chunks(data, at)
    if len(lengths) > 1 or lengths and not DIGITS.fullmatch(lengths[0]):
        raise InvalidError(lengths)
    size = int(lengths[0]) if lengths and len(lengths[0]) < 12 else 0
    if lengths and len(lengths[0]) >= 12:
        raise InvalidError(lengths)
    if len(data) < at + size:
        raise IncompleteError
    return data[at : at + size], at + size


def read_request(data, at=0):
    """(ReadRequest, where the next one begins); raises InvalidError or IncompleteError."""
    start, at = line_of(data, at)
    parts = start.split(b" ")
    if len(parts) != 3 or not TOKEN.fullmatch(parts[0]) or not TARGET.fullmatch(parts[1]):
        raise InvalidError(start)
    if parts[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
        raise InvalidError(start)
    fields, at = read_fields(data, at)
    body, at = read_body(data, at, fields)
    return ReadRequest(parts[0], parts[1], parts[2], fields, body), at


def read_requests(data):
    """The proper requests that data begins with; an empty line may stand before each."""
    found, at = [], 0
    while at < len(data):
        at += 2 * data.startswith(b"\r\n", at)
        try:
            request, at = read_request(data, at)
        except (InvalidError, IncompleteError):
            break
        found.append(request)
    return found
