"""A short seeded part of the gateways' fault soak, and its checks."""

import signal
import time

import pytest

from tests.functional import gateway_deployment
from tests.functional import gateway_soak
from tests.functional import process

# Chosen for what they hold: outages of the store with lost writes and a
# restart; kills and drains of targets with a frozen gateway. Seed 102 failed:
# the soak took a configuration whose answer was lost for one not stored. One
# of 416 and 417 failed, played side by side: a gateway was killed as it
# started after another kill, and nobody noticed that the soak's thread ended.
SEEDS = (3, 5, 102, 416, 417)

# An idle gateway stops within its 8 s of grace.
STOP_POLLS = 160


@pytest.mark.parametrize("seed", SEEDS)
def test_a_seeded_run_keeps_the_promises(seed, tmp_path):
    found, exchanges = gateway_soak.run(seed, tmp_path)
    assert found == []
    kinds = {one.kind for one in exchanges if one.status == 200}
    assert kinds == {"draft", "booking", "lookup"}


def test_steps_of_the_time_of_day_move_nothing(tmp_path):
    deployment = gateway_deployment.Deployment(tmp_path)
    try:
        deployment.wait_until_serving()
        gateway = deployment.gateways[0]
        before = gateway.output()
        gateway.signal(signal.SIGUSR1)
        time.sleep(1.5)
        gateway.signal(signal.SIGUSR2)
        gateway.terminate()
        gateway.wait(STOP_POLLS)
        after = gateway.output().removeprefix(before)
        assert '"event": "stopped"' in after
        for belief in ("peer_lost", "target_down", "target_suspected"):
            before_stop = after.partition('"event": "stop"')[0]
            assert f'"event": "{belief}"' not in before_stop
    finally:
        deployment.stop()


class StartedGateway:
    """A gateway whose first starts end with given codes."""

    def __init__(self, *codes):
        self.codes = list(codes)
        self.is_running = False

    def running(self):
        """Tells whether a start has succeeded."""
        return self.is_running

    def start(self):
        """Starts, or fails as long as codes are left."""
        if self.codes:
            raise process.ProcessFailed("ended")
        self.is_running = True

    def wait(self):
        """Returns the code of the start that failed."""
        return self.codes.pop(0)


def test_a_gateway_killed_as_it_starts_is_started_again():
    gateway = StartedGateway(-signal.SIGKILL, -signal.SIGTERM)
    gateway_soak.Injector(None)._restart(gateway)
    assert gateway.is_running


def test_a_gateway_that_fails_to_start_is_a_finding(monkeypatch):
    injector = gateway_soak.Injector(None)
    gateway = StartedGateway(1)
    monkeypatch.setattr(
        injector, "_kill_target", lambda fault: injector._restart(gateway)
    )
    fault = gateway_soak.schedule(1)[0]._replace(kind="kill_target")
    injector.start(fault)
    injector.threads[0].join(5.0)
    assert len(injector.errors) == 1


def test_a_schedule_follows_from_its_seed():
    assert gateway_soak.schedule(7) == gateway_soak.schedule(7)
    assert gateway_soak.schedule(7) != gateway_soak.schedule(8)


def exchange(kind, status, body=b"", is_whole=True, request_id="r"):
    return gateway_soak.Exchange(
        kind, request_id, "g", 0.0, status, body, is_whole
    )


def row(what, request="r", target="t", at_s=0.0):
    return {
        "what": what,
        "request": request,
        "target": target,
        "address": "127.0.0.1:1",
        "at_s": at_s,
    }


def events(first, end):
    return b"".join(
        gateway_soak.platform_target.event_of("r", number)
        for number in range(first, end)
    )


@pytest.mark.parametrize(
    ("exchanges", "journal", "samples"),
    [
        ([exchange("booking", 200)], [row("run"), row("run")], []),
        ([exchange("booking", 503)], [row("run")], []),
        ([exchange("booking", 200, b"done other")], [row("run")], []),
        ([exchange("draft", 200, events(1, 5))], [], []),
        ([exchange("draft", 200, events(2, 31))], [], []),
        ([exchange("draft", 200, events(1, 3) * 2, False)], [], []),
        ([], [row("bad_path")], []),
        ([], [row("draining"), row("run", at_s=2.5)], []),
        ([], [], [("g", 1, 5), ("g", 1, 4)]),
    ],
)
def test_each_broken_promise_is_found(exchanges, journal, samples):
    assert gateway_soak.findings(exchanges, journal, samples)


def test_a_history_that_holds_has_no_findings():
    exchanges = [
        exchange("draft", 200, events(1, 31), request_id="r"),
        exchange("draft", 200, events(1, 4), is_whole=False),
        exchange("booking", 200, b"done b", request_id="b"),
        exchange("booking", 502, request_id="c"),
        exchange("booking", 503, request_id="d"),
    ]
    journal = [
        row("run", "b"),
        row("run", "c"),
        row("run", "r"),
        row("draining", target="u", at_s=1.0),
        row("run", "r", target="u", at_s=1.5),
    ]
    samples = [("g", 1, 5), ("g", 1, 6), ("g", 2, 5)]
    assert gateway_soak.findings(exchanges, journal, samples) == []


def test_what_a_harmed_link_held_back_is_no_late_work():
    journal = [row("draining"), row("run", at_s=3.0)]
    harmed = [gateway_soak.Harmed("127.0.0.1:1", 1.0, 2.9)]
    assert gateway_soak.findings([], journal, [], harmed) == []
    elsewhere = [gateway_soak.Harmed("127.0.0.1:2", 1.0, 2.9)]
    assert gateway_soak.findings([], journal, [], elsewhere)
    earlier = [gateway_soak.Harmed("127.0.0.1:1", 0.0, 1.0)]
    assert gateway_soak.findings([], journal, [], earlier)
