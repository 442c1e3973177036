"""Configuration bodies on disk: a failed write is reported and tried again; while one goes on, none is added."""

from types import SimpleNamespace
from unittest.mock import create_autospec

from twisted.internet.defer import Deferred, fail
from twisted.internet.task import Clock

from frostpost.background import config_bodies
from frostpost.daemon.disk import LogWriter
from frostpost.tenant_config.body_store import BodyStore, answer_body, answer_versions, new_body, record_stored
from frostpost.virtual_synchrony.config_messages import ConfigBodyRequest, ConfigVersionsRequest


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


class SlowStore:
    """Another daemon's store of bodies, whose writes to disk end when `end_write` is called."""

    def __init__(self):
        self.sent, self.batches, self.write_ended = [], [], None
        self.ctx = SimpleNamespace(
            body_store=BodyStore("s2.1", chunk_bytes=4),
            body_writer=config_bodies.BodyWriter(None),
            core=SimpleNamespace(
                ledger=SimpleNamespace(config_index=0),
                synchrony=SimpleNamespace(now_ms=0, status=None, heartbeat_ms=0),
            ),
            disk=create_autospec(LogWriter, instance=True),
            effective_config_index=0,
            instantiating=False,
            links={"send": lambda to, message: self.sent.append(message)},
            machine=SimpleNamespace(in_thread=self.in_thread, seconds=lambda: 0.0),
            reactor=Clock(),
        )

    def in_thread(self, function, log, payloads):
        self.batches.append(payloads)
        self.write_ended = Deferred()
        return self.write_ended

    def end_write(self):
        self.write_ended.callback(None)

    def exchange(self, source):
        """Ask the source for what it has beyond this store, as each of its heartbeats does, until nothing is sent."""
        config_bodies.on_version_vector(self.ctx, "s1", source.vector)
        while self.sent:
            message = self.sent.pop(0)
            for answer in ANSWERS[type(message)](source, "s2", message):
                config_bodies.on_message(self.ctx, "s1", answer[1])


ANSWERS = {ConfigVersionsRequest: answer_versions, ConfigBodyRequest: answer_body}
BODY = b"0123456789"


def source_of(*bodies):
    store = BodyStore("s1.1", chunk_bytes=4)
    for body in bodies:
        _, write = new_body(store, body)
        record_stored(store, write.item, body, 0)
    return store


def written_bodies(store):
    return [config_bodies.decode(payload).body for batch in store.batches for payload in batch]


def test_body_is_written_once_however_often_it_is_offered_while_its_write_goes_on():
    """Guards against daemons that ran out of memory: each heartbeat queued a large body again until it was synced."""
    store, source = SlowStore(), source_of(BODY)
    for _ in range(5):
        store.exchange(source)
    assert written_bodies(store) == [BODY] and store.ctx.body_writer.queue == []
    store.end_write()
    store.exchange(source)
    assert written_bodies(store) == [BODY] and store.ctx.body_store.vector == {"s1.1": 1}


def test_second_version_of_one_body_is_written_once_however_often_it_is_offered():
    """An operator's repeats make several versions of one body."""
    store = SlowStore()
    store.exchange(source_of(BODY))
    source = source_of(BODY, BODY)
    for _ in range(5):
        store.exchange(source)
    assert written_bodies(store) == [BODY] and store.ctx.body_writer.queue == []
    store.end_write()
    for _ in range(5):
        store.exchange(source)
    assert written_bodies(store) == [BODY, BODY]
    store.end_write()
    assert store.ctx.body_store.vector == {"s1.1": 2} and store.ctx.body_store.pending == {}


def test_body_whose_write_failed_is_written_again_and_not_queued_again():
    store, source = SlowStore(), source_of(BODY)
    store.exchange(source)
    store.write_ended.errback(OSError(28, "no space left on device"))
    for _ in range(5):
        store.exchange(source)
    store.ctx.reactor.advance(1)
    store.end_write()
    assert written_bodies(store) == [BODY, BODY] and store.ctx.body_store.vector == {"s1.1": 1}
