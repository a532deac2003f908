"""Pytest hooks and fixtures shared by all tests."""

import hypothesis
import pytest

from tests import known_red
from tests.fakes import memory

# Generates the same examples on each run and ignores how long they take,
# so that results are reproducible.
hypothesis.settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile("fixed")


@pytest.fixture
def platform():
    """Returns an in-memory fake of the platform on a virtual clock."""
    return memory.MemoryPlatform()


def pytest_collection_modifyitems(items):
    """Marks the tests listed in KNOWN-RED.txt as expected failures."""
    for entry in known_red.read_entries():
        if not known_red.is_test_defined(entry):
            raise pytest.UsageError(
                f"KNOWN-RED.txt: test not found: {entry.test}"
            )
        for item in items:
            if known_red.matches(entry, item.nodeid):
                item.add_marker(
                    pytest.mark.xfail(strict=False, reason=entry.seen)
                )


def pytest_terminal_summary(terminalreporter):
    """Prints the entries of KNOWN-RED.txt after the test summary."""
    for entry in known_red.read_entries():
        terminalreporter.write_line(f"KNOWN RED: {' | '.join(entry)}")
