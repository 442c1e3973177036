import os
from struct import Struct as Layout
from zlib import crc32

from msgspec import Struct

HEAD = Layout(">2sIQI")
MAGIC = b"\xf0\x57"


class Torn(Struct, frozen=True, tag="Torn"):
    path: str
    offset: int


class Corrupt(Struct, frozen=True, tag="Corrupt"):
    path: str
    offset: int
    movedTo: str


class Furrow(Struct):
    folder: str
    name: str
    fd: int = -1
    serial: int = 0
    size: int = 0

    @property
    def path(self):
        return os.path.join(self.folder, self.name)


def seal(serial, payload):
    sum = crc32(payload, crc32(serial.to_bytes(8, "big")))
    return HEAD.pack(MAGIC, len(payload), serial, sum) + payload


def readAt(data, offset):
    if offset + HEAD.size > len(data):
        return None
    magic, length, serial, sum = HEAD.unpack_from(data, offset)
    end = offset + HEAD.size + length
    if magic != MAGIC or end > len(data):
        return None
    payload = data[offset + HEAD.size:end]
    if crc32(payload, crc32(serial.to_bytes(8, "big"))) != sum:
        return None
    return serial, payload, end


def survives(data, offset, serial):
    at = data.find(MAGIC, offset + 1)
    while at >= 0:
        found = readAt(data, at)
        if found and found[0] > serial:
            return True
        at = data.find(MAGIC, at + 1)
    return False


def scan(data):
    payloads, offset, serial = [], 0, 0
    while offset < len(data):
        found = readAt(data, offset)
        if found is None or found[0] != serial + 1:
            return payloads, offset, serial, survives(data, offset, serial)
        serial, payload, offset = found
        payloads.append(payload)
    return payloads, offset, serial, False


def open_(folder, name):
    os.makedirs(folder, exist_ok=True)
    furrow = Furrow(folder, name)
    data = b""
    if os.path.exists(furrow.path):
        with open(furrow.path, "rb") as file:
            data = file.read()
    payloads, offset, serial, corrupt = scan(data)
    fault = None
    if corrupt:
        moved = f"{furrow.path}.corrupt-{offset}"
        os.replace(furrow.path, moved)
        fault = Corrupt(furrow.path, offset, moved)
        payloads, offset, serial = [], 0, 0
    elif offset < len(data):
        fault = Torn(furrow.path, offset)
        with open(furrow.path, "r+b") as file:
            file.truncate(offset)
            os.fsync(file.fileno())
    furrow.fd = os.open(furrow.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
    furrow.serial, furrow.size = serial, offset
    syncFolder(folder)
    return furrow, payloads, fault


def syncFolder(folder):
    fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def append(furrow, payloads):
    parts, serial = [], furrow.serial
    for payload in payloads:
        serial += 1
        parts.append(seal(serial, payload))
    data = b"".join(parts)
    view = memoryview(data)
    try:
        while view:
            view = view[os.write(furrow.fd, view):]
    except OSError:
        os.ftruncate(furrow.fd, furrow.size)
        raise
    furrow.serial = serial
    furrow.size += len(data)


class SyncLost(OSError):
    pass


def sync(furrow):
    try:
        os.fdatasync(furrow.fd)
    except OSError as fault:
        raise SyncLost(*fault.args) from fault


def rewrite(furrow, payloads):
    fresh = f"{furrow.path}.new"
    data = b"".join(seal(n, p) for n, p in enumerate(payloads, 1))
    with open(fresh, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(fresh, furrow.path)
    syncFolder(furrow.folder)
    os.close(furrow.fd)
    furrow.fd = os.open(furrow.path, os.O_WRONLY | os.O_APPEND)
    furrow.serial, furrow.size = len(payloads), len(data)


def close(furrow):
    if furrow.fd >= 0:
        os.close(furrow.fd)
        furrow.fd = -1
