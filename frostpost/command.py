"""The command `frostpost`: one subcommand for each thing that is run by hand."""

import sys
from importlib import import_module

import cappa
from msgspec import Struct

from frostpost.admin.arguments import Admin, Doctor
from frostpost.app.arguments import Serve
from frostpost.simulator.arguments import Simulate
from frostpost.testbed.arguments import Fleet, Proof

# What runs each subcommand; imported only when it is asked for, since some install an event loop.
RUNNERS = {
    Serve: ("frostpost.app.serve", "serve"),
    Admin: ("frostpost.admin.commands", "run"),
    Doctor: ("frostpost.admin.commands", "run_doctor"),
    Fleet: ("frostpost.testbed.proving", "run_fleet"),
    Proof: ("frostpost.testbed.proving", "run_proofs"),
    Simulate: ("frostpost.simulator.sweep", "simulate"),
}


@cappa.command(name="frostpost", help="A serving tier for agent programs: daemons, operators' commands, simulation.")
class Frostpost(Struct):
    """Arguments of the command: one of its subcommands."""

    command: cappa.Subcommands[Serve | Admin | Doctor | Fleet | Proof | Simulate]


def main(words=None):
    """Run the command line; returns the exit status."""
    command = cappa.parse(Frostpost, argv=words).command
    module, name = RUNNERS[type(command)]
    return getattr(import_module(module), name)(command)


if __name__ == "__main__":
    sys.exit(main())
