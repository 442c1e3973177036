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
    moved_to: str


class WriteAheadLog(Struct):
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


def read_at(data, offset):
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
        found = read_at(data, at)
        if found and found[0] > serial:
            return True
        at = data.find(MAGIC, at + 1)
    return False


def scan(data):
    payloads, offset, serial = [], 0, 0
    while offset < len(data):
        found = read_at(data, offset)
        if found is None or found[0] != serial + 1:
            return payloads, offset, serial, survives(data, offset, serial)
        serial, payload, offset = found
        payloads.append(payload)
    return payloads, offset, serial, False


FILES = Files()


def open_(folder, name, files=FILES):
    files.makedirs(folder, exist_ok=True)
    write_ahead_log = WriteAheadLog(folder, name, files)
    data = files.read(write_ahead_log.path) if files.exists(write_ahead_log.path) else b""
    payloads, offset, serial, corrupt = scan(data)
    fault = None
    if corrupt:
        moved = f"{write_ahead_log.path}.corrupt-{offset}"
        files.replace(write_ahead_log.path, moved)
        fault = Corrupt(write_ahead_log.path, offset, moved)
        payloads, offset, serial = [], 0, 0
    elif offset < len(data):
        fault = Torn(write_ahead_log.path, offset)
    write_ahead_log.fd = files.open(write_ahead_log.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
    if offset < len(data) and not corrupt:
        files.ftruncate(write_ahead_log.fd, offset)
        files.fsync(write_ahead_log.fd)
    write_ahead_log.serial, write_ahead_log.size = serial, offset
    sync_folder(files, folder)
    return write_ahead_log, payloads, fault


def sync_folder(files, folder):
    fd = files.open(folder, os.O_RDONLY)
    try:
        files.fsync(fd)
    finally:
        files.close(fd)


def append(write_ahead_log, payloads):
    parts, serial = [], write_ahead_log.serial
    for payload in payloads:
        serial += 1
        parts.append(seal(serial, payload))
    data = b"".join(parts)
    view = memoryview(data)
    try:
        while view:
            view = view[write_ahead_log.files.write(write_ahead_log.fd, view) :]
    except OSError:
        write_ahead_log.files.ftruncate(write_ahead_log.fd, write_ahead_log.size)
        raise
    write_ahead_log.serial = serial
    write_ahead_log.size += len(data)


class SyncLostError(OSError):
    pass


def sync(write_ahead_log):
    try:
        write_ahead_log.files.fdatasync(write_ahead_log.fd)
    except OSError as fault:
        raise SyncLostError(*fault.args) from fault


def rewrite(write_ahead_log, payloads):
    files, fresh = write_ahead_log.files, f"{write_ahead_log.path}.new"
    data = b"".join(seal(n, p) for n, p in enumerate(payloads, 1))
    fd = files.open(fresh, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o644)
    try:
        view = memoryview(data)
        while view:
            view = view[files.write(fd, view) :]
        files.fsync(fd)
        files.replace(fresh, write_ahead_log.path)
    except OSError:
        files.close(fd)
        raise
    old, write_ahead_log.fd = write_ahead_log.fd, fd
    write_ahead_log.serial, write_ahead_log.size = len(payloads), len(data)
    files.close(old)
    try:
        sync_folder(files, write_ahead_log.folder)
    except OSError as fault:
        raise SyncLostError(*fault.args) from fault


def close(write_ahead_log):
    if write_ahead_log.fd >= 0:
        write_ahead_log.files.close(write_ahead_log.fd)
        write_ahead_log.fd = -1
