import time

from frostpost.simulator.play import play


def test_core_does_not_read_system_clocks(monkeypatch):
    def fail(*_):
        raise AssertionError("a system clock was read")

    for name in ("time", "time_ns", "monotonic", "monotonic_ns"):
        monkeypatch.setattr(time, name, fail)
    _, report = play(11, storm_ms=6000)
    assert report.broken == [] and report.decided > 50


def test_safety_and_progress_with_clocks_far_apart():
    def skew_clocks(world):
        for index, node in enumerate(world.nodes.values()):
            node.core.synchrony.now_ms += 10_000_000 * index
            node.core.synchrony.installed_ms = node.core.synchrony.now_ms
            node.skew_ms = 10_000_000 * index

    world, report = play(12, storm_ms=6000, prepare=skew_clocks)
    assert report.broken == [] and report.decided > 50
