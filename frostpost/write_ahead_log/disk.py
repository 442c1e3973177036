import os
from struct import Struct as Layout
from zlib import crc32

from msgspec import Struct

from frostpost.daemon.machine import Files

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
    files: Files = Files()
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
    payload = data[offset + HEAD.size : end]
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


def open_(folder, name, files=Files()):
    files.makedirs(folder, exist_ok=True)
    furrow = Furrow(folder, name, files)
    data = files.read(furrow.path) if files.exists(furrow.path) else b""
    payloads, offset, serial, corrupt = scan(data)
    fault = None
    if corrupt:
        moved = f"{furrow.path}.corrupt-{offset}"
        files.replace(furrow.path, moved)
        fault = Corrupt(furrow.path, offset, moved)
        payloads, offset, serial = [], 0, 0
    elif offset < len(data):
        fault = Torn(furrow.path, offset)
    furrow.fd = files.open(furrow.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
    if offset < len(data) and not corrupt:
        files.ftruncate(furrow.fd, offset)
        files.fsync(furrow.fd)
    furrow.serial, furrow.size = serial, offset
    syncFolder(files, folder)
    return furrow, payloads, fault


def syncFolder(files, folder):
    fd = files.open(folder, os.O_RDONLY)
    try:
        files.fsync(fd)
    finally:
        files.close(fd)


def append(furrow, payloads):
    parts, serial = [], furrow.serial
    for payload in payloads:
        serial += 1
        parts.append(seal(serial, payload))
    data = b"".join(parts)
    view = memoryview(data)
    try:
        while view:
            view = view[furrow.files.write(furrow.fd, view) :]
    except OSError:
        furrow.files.ftruncate(furrow.fd, furrow.size)
        raise
    furrow.serial = serial
    furrow.size += len(data)


class SyncLost(OSError):
    pass


def sync(furrow):
    try:
        furrow.files.fdatasync(furrow.fd)
    except OSError as fault:
        raise SyncLost(*fault.args) from fault


def rewrite(furrow, payloads):
    files, fresh = furrow.files, f"{furrow.path}.new"
    data = b"".join(seal(n, p) for n, p in enumerate(payloads, 1))
    fd = files.open(fresh, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o644)
    try:
        view = memoryview(data)
        while view:
            view = view[files.write(fd, view) :]
        files.fsync(fd)
        files.replace(fresh, furrow.path)
    except OSError:
        files.close(fd)
        raise
    old, furrow.fd = furrow.fd, fd
    furrow.serial, furrow.size = len(payloads), len(data)
    files.close(old)
    try:
        syncFolder(files, furrow.folder)
    except OSError as fault:
        raise SyncLost(*fault.args) from fault


def close(furrow):
    if furrow.fd >= 0:
        furrow.files.close(furrow.fd)
        furrow.fd = -1
