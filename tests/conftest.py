"""Fixtures shared by all tests."""

import pytest

from tests.fakes import memory


@pytest.fixture
def platform():
    """Returns a stand-in of the platform in virtual time."""
    return memory.MemoryPlatform()
