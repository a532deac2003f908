"""Tests the child processes and the TCP relay of the functional tests."""

import signal
import time

import pytest

from tests.functional import client
from tests.functional import harness
from tests.functional import process
from tests.functional.process import poll

CONNECTION_ERRORS = (OSError, client.http.client.HTTPException)


def get_info_status(address):
    try:
        path = "/v1/info"
        return client.http_call(address, "GET", path, timeout_s=0.5).status
    except CONNECTION_ERRORS:
        return 0


def start_relayed_engine(deployment):
    engine = deployment.start_engine("e", 0, 4, 8)
    relay = deployment._start_relay("e", 0.0)
    target = f"127.0.0.1:{engine.address.port}"
    deployment._target_file("e").write_text(target)
    return deployment.relays["e"], relay


def test_relay_cuts_and_restores(deployment):
    relay, _ = start_relayed_engine(deployment)
    assert get_info_status(relay.address) == 200
    deployment.cut_link("e")
    poll(lambda: get_info_status(relay.address) == 0, 100, "the link is cut")
    deployment.restore_link("e")
    poll(
        lambda: get_info_status(relay.address) == 200,
        100,
        "the link is restored",
    )


def test_relay_freezes_and_resumes(deployment):
    relay, _ = start_relayed_engine(deployment)
    relay.freeze()
    assert get_info_status(relay.address) == 0
    relay.resume()
    assert get_info_status(relay.address) == 200


def test_process_ends_by_signal(deployment):
    engine = deployment.start_engine("e", 0, 4, 8)
    engine.terminate()
    engine.wait()
    assert not engine.running()
    assert engine._child.returncode in (0, -signal.SIGTERM)


def test_config_versions_increase(deployment):
    second = deployment.put_config(harness.config(share=0.25))
    assert second > deployment.config_versions[0]


@pytest.fixture
def slow_polls(monkeypatch):
    """Slows polling so that a short process exits before the second poll."""
    sleep = time.sleep
    monkeypatch.setattr(process.time, "sleep", lambda time_s: sleep(1.0))


def make_short_process(directory, *statements):
    arguments = ["-n", "1", "-r", "1", *statements]
    return process.Process("short", "timeit", arguments, directory)


def test_process_that_exits_between_polls_counts_as_started(
    slow_polls, tmp_path
):
    statement = "print('listening 127.0.0.1:1', flush=True)"
    started = make_short_process(tmp_path, statement).start()
    assert started.address == process.Address("127.0.0.1", 1)
    assert not started.running()


def test_process_that_fails_after_listening_is_an_error(slow_polls, tmp_path):
    statement = "print('listening 127.0.0.1:1', flush=True)"
    with pytest.raises(process.ProcessFailed, match="ended with 1"):
        make_short_process(tmp_path, statement, "raise ValueError").start()


def test_process_that_exits_without_listening_is_an_error(
    slow_polls, tmp_path
):
    with pytest.raises(process.ProcessFailed, match="ended with 0"):
        make_short_process(tmp_path, "pass").start()


def test_free_ports_are_no_local_ports_of_connections():
    ports = process.free_ports(3)
    assert len(set(ports)) == 3
    with process.socket.create_server(("127.0.0.1", 0)) as listener:
        address = listener.getsockname()
        with process.socket.create_connection(address) as connection:
            assert connection.getsockname()[1] >= process.END_PORT
    assert all(port < process.END_PORT for port in ports)


def test_free_ports_exclude_ports_in_use():
    (port,) = process.free_ports(1)
    with process.socket.create_server(("127.0.0.1", port)):
        others = process.free_ports(process.PORT_BLOCK_SIZE - 1)
    assert port not in others
    assert len(set(others)) == process.PORT_BLOCK_SIZE - 1


def test_two_test_processes_use_different_ports():
    script = "from tests.functional import process;"
    script += "print(process.free_ports(1)[0])"
    output = process.subprocess.run(
        [process.sys.executable, "-c", script],
        cwd=process.ROOT,
        stdout=process.subprocess.PIPE,
        check=True,
    ).stdout
    (own_port,) = process.free_ports(1)
    blocks = {
        (port - process.FIRST_PORT) // process.PORT_BLOCK_SIZE
        for port in (own_port, int(output))
    }
    assert len(blocks) == 2
