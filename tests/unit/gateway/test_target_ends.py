"""The end of a target's process is concluded only from proof of it."""

import pytest

from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.store import client
from tests.unit.gateway.conftest import make_target
from tests.unit.gateway.test_streams import REPORT_RESPONSE


@pytest.fixture
def emitted(monkeypatch):
    """Fields of the log lines, with the kind of event as `event`."""
    lines = []
    monkeypatch.setattr(
        events,
        "emit",
        lambda event, **fields: lines.append({"event": event, **fields}),
    )
    return lines


def select_events(emitted, kind):
    """Returns the log lines of one kind."""
    return [line for line in emitted if line["event"] == kind]


def store_registration(harness, target, version):
    """Applies a registration that the store reports as changed."""
    harness.targets.apply_registrations(
        [client.StoredObject("t", target.name, version, target)],
        [],
        False,
        version,
    )


def end_by_refusal(harness, name):
    """Refuses a probe of a registered target, and returns the target."""
    target = harness.targets.by_name[name]
    harness.targets.probe_suspect(target, "test")
    harness.refuse_connection()
    assert harness.targets.has_ended(target)
    return target


def test_an_end_that_a_report_disproves_is_logged_and_counted(
    harness, emitted
):
    harness.register(make_target("a"))
    end_by_refusal(harness, "a")
    before = targets_module.ENDS_WITHDRAWN._value.get()
    harness.reactor.advance(targets_module.PROBE_INTERVAL_S)
    harness.accept_connection().respond(REPORT_RESPONSE)
    (line,) = select_events(emitted, "target_end_withdrawn")
    assert line["target"] == "a"
    assert line["reason"] == "no connection: ConnectionRefusedError"
    assert line["believed_s"] == targets_module.PROBE_INTERVAL_S
    assert targets_module.ENDS_WITHDRAWN._value.get() == before + 1


def test_a_replaced_process_that_registers_again_is_logged(harness, emitted):
    harness.register(make_target("a", born_ms=1))
    store_registration(harness, make_target("a", born_ms=9), 2)
    store_registration(harness, make_target("a", born_ms=1), 3)
    (line,) = select_events(emitted, "target_end_withdrawn")
    assert (line["born_ms"], line["reason"]) == (1, "started again")


def test_a_replaced_process_has_ended_also_after_the_next_one_left(harness):
    harness.register(make_target("a", born_ms=1))
    replaced = harness.targets.by_name["a"]
    store_registration(harness, make_target("a", born_ms=9), 2)
    harness.targets.apply_registrations([], ["a"], False, 3)
    assert harness.targets.has_ended(replaced)
