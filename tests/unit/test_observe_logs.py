import io

import logbook
import pytest
from twisted import logger as twisted_logger

from hemlocktiller._internal.observe import logs


@pytest.fixture
def lines(monkeypatch):
    observers = []

    def begin(new_observers, redirectStandardIO):  # noqa: N803
        observers.extend(new_observers)

    monkeypatch.setattr(
        twisted_logger.globalLogBeginner, "beginLoggingTo", begin
    )
    stream = io.StringIO()
    handler = logs.configure("entry-1", stream)
    stream.observers = observers
    yield stream
    handler.pop_application()


def test_a_record_takes_one_line(lines):
    logbook.Logger("links").info("first\r\nsecond {}", 3)
    (line,) = lines.getvalue().splitlines()
    assert line.endswith("INFO entry-1 links: first\\r\\nsecond 3")


def test_a_traceback_takes_one_line(lines):
    try:
        raise ValueError("bad")
    except ValueError:
        logbook.Logger("links").exception("failed")
    (line,) = lines.getvalue().splitlines()
    assert "failed\\nTraceback" in line
    assert line.endswith("ValueError: bad")


def test_twisted_errors_are_passed_on_and_its_chatter_is_not(lines):
    log = twisted_logger.Logger(
        "web", observer=lambda event: lines.observers[0](event)
    )
    log.info("starting factory")
    log.error("no {what}", what="file")
    (line,) = lines.getvalue().splitlines()
    assert line.endswith("ERROR entry-1 twisted: no file")
