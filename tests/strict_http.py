"""Strict HTTP/1.1 request parser (RFC 9112) as a reference for the parser under test."""

import re

from msgspec import Struct

TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
TARGET = re.compile(rb"[!-~]+")
DIGITS = re.compile(rb"[0-9]+")
HEX_DIGITS = re.compile(rb"[0-9A-Fa-f]+")
FORBIDDEN_BYTES = (b"\0", b"\r", b"\n")


class InvalidError(Exception):
    """The bytes are not a valid request."""


class IncompleteError(Exception):
    """The request is incomplete."""


class ReadRequest(Struct):
    """A parsed request."""

    method: bytes
    target: bytes
    version: bytes
    fields: list[tuple[bytes, bytes]]
    body: bytes


def read_line(data, offset):
    """Return a line and the offset of the next one."""
    end = data.find(b"\r\n", offset)
    if end < 0:
        raise IncompleteError
    return data[offset:end], end + 2


def read_fields(data, offset):
    """Return the header fields and the offset of the body; a folded line is joined with a space."""
    fields = []
    while True:
        line, offset = read_line(data, offset)
        if not line:
            return fields, offset
        if line[:1] in (b" ", b"\t") and fields:
            fields[-1] = (fields[-1][0], fields[-1][1] + b" " + line.strip(b" \t"))
        else:
            name, colon, value = line.partition(b":")
            if not colon or not TOKEN.fullmatch(name):
                raise InvalidError(line)
            fields.append((name, value.strip(b" \t")))
        if any(byte in fields[-1][1] for byte in FORBIDDEN_BYTES):
            raise InvalidError(line)


def read_chunks(data, offset):
    """Return a chunked body and the offset after it."""
    body = b""
    while True:
        line, offset = read_line(data, offset)
        size = line.partition(b";")[0]
        if not HEX_DIGITS.fullmatch(size):
            raise InvalidError(line)
        chunk_size = int(size, 16)
        if not chunk_size:
            break
        if len(data) < offset + chunk_size + 2:
            raise IncompleteError
        body += data[offset : offset + chunk_size]
        if data[offset + chunk_size : offset + chunk_size + 2] != b"\r\n":
            raise InvalidError(data[offset + chunk_size :])
        offset += chunk_size + 2
    while True:
        line, offset = read_line(data, offset)
        if not line:
            return body, offset


def read_body(data, offset, fields):
    """Return the body according to its framing headers, and the offset after it."""
    lengths = [value for name, value in fields if name.lower() == b"content-length"]
    codings = [value.lower() for name, value in fields if name.lower() == b"transfer-encoding"]
    if codings and (lengths or codings != [b"chunked"]):
        raise InvalidError(codings)
    if codings:
        return read_chunks(data, offset)
    if len(lengths) > 1 or lengths and not DIGITS.fullmatch(lengths[0]):
        raise InvalidError(lengths)
    size = int(lengths[0]) if lengths and len(lengths[0]) < 12 else 0
    if lengths and len(lengths[0]) >= 12:
        raise InvalidError(lengths)
    if len(data) < offset + size:
        raise IncompleteError
    return data[offset : offset + size], offset + size


def read_request(data, offset=0):
    """Return a ReadRequest and the offset after it; raises InvalidError or IncompleteError."""
    start, offset = read_line(data, offset)
    parts = start.split(b" ")
    if len(parts) != 3 or not TOKEN.fullmatch(parts[0]) or not TARGET.fullmatch(parts[1]):
        raise InvalidError(start)
    if parts[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
        raise InvalidError(start)
    fields, offset = read_fields(data, offset)
    body, offset = read_body(data, offset, fields)
    return ReadRequest(parts[0], parts[1], parts[2], fields, body), offset


def read_requests(data):
    """Return the valid requests at the start of `data`; an empty line may precede each."""
    requests, offset = [], 0
    while offset < len(data):
        offset += 2 * data.startswith(b"\r\n", offset)
        try:
            request, offset = read_request(data, offset)
        except (InvalidError, IncompleteError):
            break
        requests.append(request)
    return requests
