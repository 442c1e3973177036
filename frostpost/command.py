"""The command line interface of `frostpost` and its subcommands."""

import sys
from importlib import import_module

import cappa
from msgspec import Struct

from frostpost.admin.arguments import Admin, Doctor
from frostpost.app.arguments import Serve
from frostpost.simulator.arguments import Simulate
from frostpost.testbed.arguments import Fleet, Proof

# Module and function of each subcommand; imported on use, since some modules install an event loop.
ENTRY_POINTS = {
    Serve: ("frostpost.app.serve", "serve"),
    Admin: ("frostpost.admin.commands", "run"),
    Doctor: ("frostpost.admin.commands", "run_doctor"),
    Fleet: ("frostpost.testbed.proving", "run_fleet"),
    Proof: ("frostpost.testbed.proving", "run_proofs"),
    Simulate: ("frostpost.simulator.sweep", "simulate"),
}


@cappa.command(name="frostpost", help="A serving tier for agent programs: daemons, operators' commands, simulation.")
class Frostpost(Struct):
    """Arguments of the command line."""

    command: cappa.Subcommands[Serve | Admin | Doctor | Fleet | Proof | Simulate]


def main(arguments=None):
    """Run the subcommand in the arguments, by default those of the process; returns the exit status."""
    command = cappa.parse(Frostpost, argv=arguments).command
    module, function = ENTRY_POINTS[type(command)]
    return getattr(import_module(module), function)(command)


if __name__ == "__main__":
    sys.exit(main())
