import signal
import time

import pytest

from tests.functional import client
from tests.functional import harness
from tests.functional import process
from tests.functional.process import poll

GONE = (OSError, client.http.client.HTTPException)


def reach(address):
    try:
        path = "/v1/info"
        return client.http_call(address, "GET", path, timeout_s=0.5).status
    except GONE:
        return 0


def start_relayed_engine(deployment):
    engine = deployment.start_engine("e", 0, 4, 8)
    relay = deployment._start_relay("e", 0.0)
    target = f"127.0.0.1:{engine.address.port}"
    deployment._target_file("e").write_text(target)
    return deployment.relays["e"], relay


def test_relay_cuts_and_restores(deployment):
    relay, _ = start_relayed_engine(deployment)
    assert reach(relay.address) == 200
    deployment.cut_link("e")
    poll(lambda: reach(relay.address) == 0, 100, "the link is cut")
    deployment.restore_link("e")
    poll(lambda: reach(relay.address) == 200, 100, "the link is restored")


def test_relay_freezes_and_wakes(deployment):
    relay, _ = start_relayed_engine(deployment)
    relay.freeze()
    assert reach(relay.address) == 0
    relay.wake()
    assert reach(relay.address) == 200


def test_process_ends_by_signal(deployment):
    engine = deployment.start_engine("e", 0, 4, 8)
    engine.terminate()
    engine.wait()
    assert not engine.running()
    assert engine._child.returncode in (0, -signal.SIGTERM)


def test_config_versions_grow(deployment):
    second = deployment.put_config(harness.config(share=0.25))
    assert second > deployment.config_versions[0]


@pytest.fixture
def ended_at_next_poll(monkeypatch):
    """Polls so slowly that a short program ends before the second one."""
    sleep = time.sleep
    monkeypatch.setattr(process.time, "sleep", lambda time_s: sleep(1.0))


def short_program(directory, *statements):
    words = ["-n", "1", "-r", "1", *statements]
    return process.Process("short", "timeit", words, directory)


def test_a_program_done_between_two_polls_has_started(
    ended_at_next_poll, tmp_path
):
    words = "print('listening 127.0.0.1:1', flush=True)"
    started = short_program(tmp_path, words).start()
    assert started.address == process.Address("127.0.0.1", 1)
    assert not started.running()


def test_a_program_that_failed_after_it_listened_has_not_started(
    ended_at_next_poll, tmp_path
):
    words = "print('listening 127.0.0.1:1', flush=True)"
    with pytest.raises(process.ProcessFailed, match="ended with 1"):
        short_program(tmp_path, words, "raise ValueError").start()


def test_a_program_that_never_listened_has_not_started(
    ended_at_next_poll, tmp_path
):
    with pytest.raises(process.ProcessFailed, match="ended with 0"):
        short_program(tmp_path, "pass").start()
