"""Runs one daemon on the platform: `python3 -m frostpost.platform.main [ROLE] [--check] [--routing FILE]`."""

import gc
import sys

from msgspec import json

from .settings import ROLES, read_settings


def parse_flags():
    """Return (role, settings file, check only, routing file); the argument parser is imported only if it is needed."""
    if len(sys.argv) == 1 or len(sys.argv) == 2 and sys.argv[1] in ROLES:
        return (sys.argv[1:] or [None])[0], None, False, None
    from typing import Annotated

    import cappa
    from msgspec import Struct

    class Flags(Struct):
        role: Annotated[str | None, cappa.Arg(help="edge, core or storage; default: from the settings")] = None
        settings: Annotated[str | None, cappa.Arg(long=True, help="settings file; default: $FROSTPOST_BOOT")] = None
        check: Annotated[bool, cappa.Arg(long=True, help="print the settings as parsed, and exit")] = False
        routing: Annotated[
            str | None, cappa.Arg(long=True, help="print this configuration document as parsed, and exit")
        ] = None

    command = cappa.command(Flags, name="frostpost", help="Run one frostpost daemon.")
    arguments = cappa.parse(command)
    return arguments.role, arguments.settings, arguments.check, arguments.routing


def disable_tls():
    """Keep Twisted from importing OpenSSL, which is unused and slows down the start."""
    sys.modules.setdefault("OpenSSL", None)


def print_routing(path):
    """Print the Routing of a configuration document, or the error in it. Returns the exit status."""
    from expression import Error

    from .routing import RoutingInvalid, parse_document

    try:
        with open(path, "rb") as file:
            result = parse_document(file.read())
    except OSError as error:
        result = Error(RoutingInvalid(path, error.strerror or "cannot be read"))
    if result.is_error():
        print(f"{type(result.error).__name__}: {result.error.path}: {result.error.text}", file=sys.stderr)
        return 65
    print(json.format(json.encode(result.ok[1]), indent=2).decode())
    return 0


def enable_gc():
    """Enable cyclic garbage collection, excluding all objects created during startup."""
    gc.freeze()
    gc.enable()


def main():
    """Run the command. Returns the exit status."""
    gc.disable()
    disable_tls()
    role, path, check, routing_path = parse_flags()
    if routing_path is not None:
        return print_routing(routing_path)
    result = read_settings(path, role)
    if result.is_error():
        print(f"{type(result.error).__name__}: {result.error.path}: {result.error.text}", file=sys.stderr)
        return 78
    if check:
        print(json.format(json.encode(result.ok), indent=2).decode())
        return 0
    from frostpost.cluster.assembly import run_daemon
    from frostpost.daemon.structured_log import start_logging

    from .listening import make_front

    start_logging()
    return run_daemon(result.ok, make_front(path, role), on_started=enable_gc)


if __name__ == "__main__":
    sys.exit(main())
