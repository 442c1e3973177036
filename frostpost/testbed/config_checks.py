"""Check configuration changes against the operators' responses and the versions that runners received."""

from .caller_requests import Breach

PROPAGATION_MS = 2000
TENANT_PATH = "tenants/hlidar"


def confirmed_drains(caller_events):
    """Yield the runner and time in milliseconds of each confirmed drain."""
    for event in caller_events:
        if event["kind"] == "drained" and event["status"] == 200:
            yield event["runner"], event["at_ms"]


def check_config_changes(caller_events, by_run):
    """Yield breaches: a version that was acknowledged twice, or a refused change that took effect."""
    changes = [event for event in caller_events if event["kind"] == "configured"]
    acked = {event["value"]: event for event in changes if event["status"] == 200}
    refused = {event["value"] for event in changes if event["status"] in (409, 412, 422)}
    versions = {}
    for event in acked.values():
        if event["version"] in versions:
            yield Breach("both_acked", f"version {event['version']} was acknowledged twice")
        versions[event["version"]] = event
        if event.get("if_match") is not None and event["version"] != event["if_match"] + 1:
            yield Breach(
                "both_acked", f"{event['value']} took effect as {event['version']} against {event['if_match']}"
            )
    for run in by_run.values():
        if run.get("max_output") in refused:
            yield Breach("losing", f"{run['request']} ran under {run['max_output']}, which was refused")
    yield from check_stale_configs(acked, by_run)


def run_sent_ms(run):
    """Return when a run's request was sent to the runner, in milliseconds."""
    return run["at_ms"] - run.get("held_ms", 0)


def check_stale_configs(acked, by_run):
    """Yield breaches: runs under a version that had already been replaced."""
    newest_observed = 0
    due_versions = sorted((event["at_ms"] + PROPAGATION_MS, event["version"]) for event in acked.values())
    runs = sorted((event for event in by_run.values() if TENANT_PATH in (event.get("config") or ())), key=run_sent_ms)
    observed = []
    for run in runs:
        version = run["config"][TENANT_PATH]
        due = max([v for at_ms, v in due_versions if at_ms < run_sent_ms(run)], default=0)
        while observed and observed[0][0] + PROPAGATION_MS < run_sent_ms(run):
            newest_observed = max(newest_observed, observed.pop(0)[1])
        if version < max(due, newest_observed):
            yield Breach(
                "config", f"{run['request']} ran under version {version} when {max(due, newest_observed)} was due"
            )
        observed.append((run_sent_ms(run), version))
