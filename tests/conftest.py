"""Hooks and fixtures of all tests."""

import hypothesis
import pytest

from tests import known_red
from tests.fakes import memory

# Fixed examples and no check of elapsed time: the same verdict each run.
hypothesis.settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile("fixed")


@pytest.fixture
def platform():
    """Returns a stand-in of the platform in virtual time."""
    return memory.MemoryPlatform()


def pytest_collection_modifyitems(items):
    """Lets the tests listed in KNOWN-RED.txt fail."""
    for entry in known_red.read():
        if not known_red.exists(entry):
            raise pytest.UsageError(f"KNOWN-RED.txt: no test {entry.test}")
        for item in items:
            if known_red.names(entry, item.nodeid):
                item.add_marker(
                    pytest.mark.xfail(strict=False, reason=entry.seen)
                )


def pytest_terminal_summary(terminalreporter):
    """Prints the entries of KNOWN-RED.txt."""
    for entry in known_red.read():
        terminalreporter.write_line(f"KNOWN RED: {' | '.join(entry)}")
