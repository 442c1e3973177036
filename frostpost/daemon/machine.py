"""Interfaces of a daemon to its machine: clocks, threads, random tokens and files."""

import os
from collections.abc import Callable
from secrets import token_hex
from time import monotonic, sleep, time

from msgspec import Struct
from twisted.internet.threads import deferToThread


class Files(Struct, frozen=True):
    """File operations; simulations and tests replace them."""

    open: Callable = os.open
    write: Callable = os.write
    fdatasync: Callable = os.fdatasync
    fsync: Callable = os.fsync
    ftruncate: Callable = os.ftruncate
    close: Callable = os.close
    replace: Callable = os.replace
    exists: Callable = os.path.exists
    makedirs: Callable = os.makedirs
    size: Callable = os.path.getsize
    pread: Callable = os.pread
    pwrite: Callable = os.pwrite


class Machine(Struct, frozen=True):
    """Clocks, threads, random tokens and files; simulations and tests replace them."""

    seconds: Callable = monotonic
    wall_s: Callable = time
    in_thread: Callable = deferToThread
    token: Callable = token_hex
    sleep: Callable = sleep
    files: Files = Files()


MACHINE = Machine()
