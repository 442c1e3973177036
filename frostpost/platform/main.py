"""One daemon on the users' machines: `python3 -m frostpost.platform.main [ROLE] [--check] [--routing FILE]`."""

import gc
import sys

from msgspec import json

from .settings import ROLES, read


def parse_flags():
    """(role, settings file, check only, routing file); the plain way of starting needs no parser."""
    if len(sys.argv) == 1 or len(sys.argv) == 2 and sys.argv[1] in ROLES:
        return (sys.argv[1:] or [None])[0], None, False, None
    from typing import Annotated

    import cappa
    from msgspec import Struct

    class Flags(Struct):
        role: Annotated[str | None, cappa.Arg(help="edge, core or storage; the settings tell it otherwise")] = None
        settings: Annotated[str | None, cappa.Arg(long=True, help="settings file, for that of the environment")] = None
        check: Annotated[bool, cappa.Arg(long=True, help="print what the settings become, and stop")] = False
        routing: Annotated[
            str | None, cappa.Arg(long=True, help="print what this configuration document becomes, and stop")
        ] = None

    command = cappa.command(Flags, name="frostpost", help="Run one frostpost daemon on the users' machines.")
    flags = cappa.parse(command)
    return flags.role, flags.settings, flags.check, flags.routing


def without_tls():
    """Nothing here speaks TLS: its libraries cost a tenth of a second and ten MB at the start."""
    sys.modules.setdefault("OpenSSL", None)


def show_routing(path):
    """Print the Routing of a configuration document, or why it is none; -> exit status."""
    from expression import Error

    from .routing import RoutingInvalid, parse

    try:
        with open(path, "rb") as file:
            result = parse(file.read())
    except OSError as fault:
        result = Error(RoutingInvalid(path, fault.strerror or "cannot be read"))
    if result.is_error():
        print(f"{type(result.error).__name__}: {result.error.path}: {result.error.text}", file=sys.stderr)
        return 65
    print(json.format(json.encode(result.ok[1]), indent=2).decode())
    return 0


def start_collecting():
    """Look for cycles from now on, and never among what the start has made: that stays."""
    gc.freeze()
    gc.enable()


def main():
    """Run the command; returns the exit status."""
    gc.disable()
    without_tls()
    role, path, check, document = parse_flags()
    if document is not None:
        return show_routing(document)
    result = read(path, role)
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
    return run_daemon(result.ok, make_front(path, role), on_started=start_collecting)


if __name__ == "__main__":
    sys.exit(main())
