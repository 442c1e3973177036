import time

from frostpost.simulator.play import play


def test_the_core_reads_no_clock_of_the_machine(monkeypatch):
    def never(*_):
        raise AssertionError("a clock of the machine was read")

    for name in ("time", "time_ns", "monotonic", "monotonic_ns"):
        monkeypatch.setattr(time, name, never)
    _, report = play(11, stormMs=6000)
    assert report.broken == [] and report.decided > 50


def test_clocks_far_apart_change_nothing():
    def skew(world):
        for n, node in enumerate(world.nodes.values()):
            node.core.hedge.nowMs += 10_000_000 * n
            node.core.hedge.installedMs = node.core.hedge.nowMs
            node.skewMs = 10_000_000 * n

    world, report = play(12, stormMs=6000, prepare=skew)
    assert report.broken == [] and report.decided > 50
