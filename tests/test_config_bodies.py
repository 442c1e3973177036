"""Configuration bodies on disk: a failed write is reported to the disk's health check and tried again."""

from types import SimpleNamespace
from unittest.mock import create_autospec

from twisted.internet.defer import fail
from twisted.internet.task import Clock

from frostpost.background import config_bodies
from frostpost.daemon.disk import LogWriter
from frostpost.tenant_config.body_store import BodyStore


def test_failed_write_makes_the_disk_unhealthy_and_is_retried_after_a_second():
    attempts, clock, disk = [], Clock(), create_autospec(LogWriter, instance=True)

    def in_thread(function, log, payloads):
        attempts.append(payloads)
        return fail(OSError(28, "no space left on device"))

    ctx = SimpleNamespace(
        body_store=BodyStore("s1.1"),
        body_writer=config_bodies.BodyWriter(None),
        disk=disk,
        machine=SimpleNamespace(in_thread=in_thread),
        reactor=clock,
    )
    result = config_bodies.put(ctx, b"{}")
    disk.set_unhealthy.assert_called_once_with(True)
    assert len(attempts) == 1 and not result.called and not ctx.body_writer.is_writing
    clock.advance(1)
    assert attempts[0] == attempts[1] and len(attempts) == 2 and not result.called
