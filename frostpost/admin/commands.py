"""Run the operators' commands; each returns its exit status."""

from . import arguments, configs, doctor, fleet, pasts, sights
from .asking import Door

ACTIONS = {
    arguments.Apply: configs.apply,
    arguments.Diff: configs.diff,
    arguments.Get: configs.get,
    arguments.History: pasts.history,
    arguments.Rollback: pasts.rollback,
    arguments.Remove: pasts.remove,
    arguments.Drain: sights.drain,
    arguments.Status: sights.status,
    arguments.Members: sights.members,
    arguments.Runners: sights.runners,
    arguments.Explain: sights.explain,
    arguments.Voters: sights.voters,
    arguments.Fleet: fleet.run,
}


def run(admin):
    """Run the subcommand that `admin` was given."""
    command = admin.command
    return ACTIONS[type(command)](command, Door(getattr(command, "door", "")))


def run_doctor(command):
    """Run the doctor against the fleet that one daemon belongs to."""
    return doctor.run(command, Door(command.door))
