"""Fixture: a controller that knows two ready backends."""

from __future__ import annotations

import pytest

from tests.fennelpoint.worlds import World, make_settings


@pytest.fixture
def world() -> World:
    made = World(make_settings())
    made.backends("a", "b")
    return made
