"""Run the operator commands; each returns its exit status."""

from . import arguments, configs, doctor, fleet, status_commands, version_commands
from .api_client import DaemonAddress

ACTIONS = {
    arguments.Apply: configs.apply,
    arguments.Diff: configs.diff,
    arguments.Get: configs.get,
    arguments.History: version_commands.history,
    arguments.Rollback: version_commands.rollback,
    arguments.Remove: version_commands.remove,
    arguments.Drain: status_commands.drain,
    arguments.Status: status_commands.status,
    arguments.Members: status_commands.members,
    arguments.Runners: status_commands.runners,
    arguments.Explain: status_commands.explain,
    arguments.Voters: status_commands.voters,
    arguments.Fleet: fleet.run,
}


def run(admin):
    """Run the selected subcommand of `admin`."""
    command = admin.command
    return ACTIONS[type(command)](command, DaemonAddress(getattr(command, "door", "")))


def run_doctor(command):
    """Check the fleet that the given daemon belongs to."""
    return doctor.run(command, DaemonAddress(command.door))
