"""Run the measurements of scale."""

from .arguments import ScaleRun


def scale(command):
    """Run the measurement that was asked for; returns its exit status."""
    if isinstance(command.command, ScaleRun):
        from .scale_run import measure
    else:
        from .scale_slopes import measure
    return measure(command.command)
