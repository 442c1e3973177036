"""All that a daemon takes from its machine: clocks, threads, random tokens, files."""

import os
from collections.abc import Callable
from secrets import token_hex
from time import monotonic, sleep, time

from msgspec import Struct
from twisted.internet.threads import deferToThread


class Files(Struct, frozen=True):
    """File operations; tests put others in their place."""

    open: Callable = os.open
    write: Callable = os.write
    fdatasync: Callable = os.fdatasync
    fsync: Callable = os.fsync
    ftruncate: Callable = os.ftruncate
    close: Callable = os.close
    replace: Callable = os.replace
    exists: Callable = os.path.exists
    makedirs: Callable = os.makedirs
    read: Callable = lambda path: read_whole(path)
    pwrite: Callable = os.pwrite


class Machine(Struct, frozen=True):
    """Clocks, threads, random tokens and files; tests put others in their place."""

    seconds: Callable = monotonic
    wall_s: Callable = time
    in_thread: Callable = deferToThread
    token: Callable = token_hex
    sleep: Callable = sleep
    files: Files = Files()


MACHINE = Machine()


def read_whole(path):
    """Return a file's bytes."""
    with open(path, "rb") as file:
        return file.read()
