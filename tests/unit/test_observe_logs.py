import io

import logbook
import pytest
from twisted import logger as twisted_logger

from hemlocktiller._internal.observe import logs


@pytest.fixture
def log_stream(monkeypatch):
    observers = []

    def collect_observers(new_observers, redirectStandardIO):  # noqa: N803
        observers.extend(new_observers)

    monkeypatch.setattr(
        twisted_logger.globalLogBeginner, "beginLoggingTo", collect_observers
    )
    stream = io.StringIO()
    handler = logs.configure("entry-1", stream)
    stream.observers = observers
    yield stream
    handler.pop_application()


def test_a_record_is_written_as_one_line(log_stream):
    logbook.Logger("links").info("first\r\nsecond {}", 3)
    (line,) = log_stream.getvalue().splitlines()
    assert line.endswith("INFO entry-1 links: first\\r\\nsecond 3")


def test_a_traceback_is_written_as_one_line(log_stream):
    try:
        raise ValueError("bad")
    except ValueError:
        logbook.Logger("links").exception("failed")
    (line,) = log_stream.getvalue().splitlines()
    assert "failed\\nTraceback" in line
    assert line.endswith("ValueError: bad")


def test_errors_of_twisted_are_logged_and_its_info_lines_are_not(log_stream):
    log = twisted_logger.Logger(
        "web", observer=lambda event: log_stream.observers[0](event)
    )
    log.info("starting factory")
    log.error("no {what}", what="file")
    (line,) = log_stream.getvalue().splitlines()
    assert line.endswith("ERROR entry-1 twisted: no file")
