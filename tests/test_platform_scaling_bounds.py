"""The bounds on the number of runners in a configuration document: conversion, and documents that are invalid."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from frostpost.platform import routing
from frostpost.proxy.models import ScalingBounds

BOUNDS = {"min-count": 2, "max-count": 6, "boot-s": 4.5}


def document(scaling):
    service = {"name": "s", "max-connections": 9}
    if scaling is not None:
        service["scaling"] = scaling
    return json.dumps({"issue": 1, "route-table": [], "service-table": [service]}).encode()


def test_bounds_are_converted_with_their_boot_time_in_milliseconds():
    parsed = routing.parse_document(document(BOUNDS)).ok[1]
    assert parsed.services["s"].scaling == ScalingBounds(2, 6, 4500)


def test_service_without_bounds_is_not_scaled():
    assert routing.parse_document(document(None)).ok[1].services["s"].scaling is None


def test_unknown_fields_of_the_bounds_are_kept_in_the_stored_document():
    decoded = routing.parse_document(document(BOUNDS | {"odd": 1})).ok[0]
    assert decoded["service-table"][0]["scaling"]["odd"] == 1


@pytest.mark.parametrize(
    "scaling",
    [
        [],
        "2",
        7,
        {},
        {"min-count": 2},
        {"max-count": 2},
        BOUNDS | {"min-count": "2"},
        BOUNDS | {"min-count": True},
        BOUNDS | {"min-count": None},
        BOUNDS | {"min-count": 1.5},
        BOUNDS | {"min-count": -1},
        BOUNDS | {"min-count": 7},
        BOUNDS | {"max-count": -1},
        BOUNDS | {"max-count": 1 << 40},
        BOUNDS | {"boot-s": -1},
        BOUNDS | {"boot-s": "4"},
        BOUNDS | {"boot-s": None},
    ],
    ids=range(17),
)
def test_invalid_bounds_make_the_document_invalid(scaling):
    assert isinstance(routing.parse_document(document(scaling)).error, routing.RoutingInvalid)


@given(st.integers(-3, 9), st.integers(-3, 9))
def test_bounds_are_valid_exactly_if_in_order_and_not_negative(min_count, max_count):
    result = routing.parse_document(document({"min-count": min_count, "max-count": max_count, "boot-s": 0}))
    assert result.is_ok() == (0 <= min_count <= max_count)
