"""The inner formats are what they were: every message, record, operation and result has the recorded bytes."""

import encoded_messages
import pytest
from msgspec import msgpack

RECORDED = encoded_messages.recorded()


def test_every_kind_is_recorded_and_encoded_alike():
    assert encoded_messages.samples() == RECORDED and len(RECORDED) > 80


@pytest.mark.parametrize("name", RECORDED)
def test_recorded_bytes_are_decoded_and_encoded_again_alike(name):
    raw = bytes.fromhex(RECORDED[name])
    assert msgpack.encode(encoded_messages.decoder_of(name).decode(raw)) == raw
