"""Reads a log's file in chunks, so that opening a log doesn't take the memory of the whole file."""

import os

READ_CHUNK_BYTES = 1 << 20


class FileReader:
    """The contents of a file, of which one chunk is cached; used from one thread. `files`: the machine's `Files`."""

    __slots__ = ("files", "path", "fd", "size", "chunk", "chunk_offset")

    def __init__(self, files, path: str):
        self.files, self.path, self.fd = files, path, -1
        self.size, self.chunk, self.chunk_offset = 0, b"", 0

    def __enter__(self):
        """Open the file, if it exists."""
        if self.files.exists(self.path):
            self.size = self.files.size(self.path)
            self.fd = self.files.open(self.path, os.O_RDONLY)
        return self

    def __exit__(self, *_):
        """Close the file."""
        if self.fd >= 0:
            self.files.close(self.fd)

    def read(self, offset: int, length: int) -> bytes:
        """Return the bytes at an offset, fewer at the end of the file."""
        length = max(0, min(length, self.size - offset))
        if length > READ_CHUNK_BYTES:
            return self.read_directly(offset, length)
        start = offset - self.chunk_offset
        if start < 0 or start + length > len(self.chunk):
            chunk_bytes = min(READ_CHUNK_BYTES, self.size - offset)
            self.chunk, self.chunk_offset, start = self.read_directly(offset, chunk_bytes), offset, 0
        return self.chunk[start : start + length]

    def read_directly(self, offset: int, length: int) -> bytes:
        """Read from the file; a single read may return fewer bytes than requested."""
        blocks = []
        while length > 0:
            block = self.files.pread(self.fd, length, offset)
            if not block:
                break
            blocks.append(block)
            offset, length = offset + len(block), length - len(block)
        return blocks[0] if len(blocks) == 1 else b"".join(blocks)
