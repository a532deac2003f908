"""Answers without length or chunks, which end with their connection."""

import concurrent.futures
import http.client
import json
import socket
import time

import pytest

from tests.fakes import platform_target
from tests.functional import gateway_deployment
from tests.functional import gateway_soak
from tests.functional import process
from tests.functional import soak_checks

STREAM_COUNT = 12
CALLER_TIMEOUT_S = 8.0
STAGE_TIMEOUT_S = 0.6


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    """Gateways in front of targets whose streams have no framing."""
    started = gateway_deployment.Deployment(tmp_path_factory.mktemp("run"))
    try:
        started.wait_until_serving()
        yield started
    finally:
        started.stop()


def break_off(deployment, ratio):
    """Makes the model targets break off a share of their streams."""
    for name, target in deployment.targets.items():
        if name.startswith("model"):
            connection = http.client.HTTPConnection(
                target.address.host, target.address.port
            )
            body = json.dumps({"break_off_ratio": ratio})
            connection.request("POST", "/faults", body)
            assert connection.getresponse().status == 200
            connection.close()


def send_draft(gateway, request_id):
    connection = http.client.HTTPConnection(
        gateway.address.host, gateway.address.port, timeout=CALLER_TIMEOUT_S
    )
    exchange = gateway_soak.send(connection, gateway.name, "draft", request_id)
    connection.close()
    return exchange


@pytest.mark.promise(2)
@pytest.mark.parametrize("ratio", [0.0, 0.4])
def test_no_answer_broken_off_by_a_target_looks_complete(deployment, ratio):
    break_off(deployment, ratio)
    gateway = deployment.gateways[0]
    whole_count = 0
    for number in range(STREAM_COUNT):
        request_id = f"undelimited-{ratio}-{number}"
        exchange = send_draft(gateway, request_id)
        if exchange.is_whole and exchange.status == 200:
            whole_count += 1
            assert exchange.body == b"".join(
                platform_target.event_of(request_id, event_number)
                for event_number in range(1, soak_checks.EVENT_COUNT + 1)
            )
    assert whole_count > STREAM_COUNT / 2


def start_stream_without_chunks(gateway, request_id):
    """Returns the connection of a caller of HTTP/1.0, and its first event."""
    connection = socket.create_connection(
        (gateway.address.host, gateway.address.port), CALLER_TIMEOUT_S
    )
    connection.sendall(
        (
            "POST /draft/1 HTTP/1.0\r\n"
            f"Host: {gateway_deployment.HOSTNAME}\r\n"
            f"Request-Id: {request_id}\r\n"
            "Deadline-Ms: 8000\r\n"
            f"Key: {gateway_deployment.API_KEY}\r\n"
            f"Token-Usage: 100,{soak_checks.EVENT_COUNT}\r\n"
            "Content-Length: 2\r\n\r\n{}"
        ).encode()
    )
    received = b""
    while b"\n\n" not in received:
        data = connection.recv(65536)
        assert data
        received += data
    return connection, received


def test_a_caller_without_chunks_gets_a_clean_close_after_the_answer(
    deployment,
):
    break_off(deployment, 0.0)
    connection, received = start_stream_without_chunks(
        deployment.gateways[1], "without-chunks-1"
    )
    with connection:
        while data := connection.recv(65536):
            received += data
    last_event = platform_target.event_of(
        "without-chunks-1", soak_checks.EVENT_COUNT
    )
    assert received.endswith(last_event)


def test_a_killed_gateway_completes_no_answer_without_chunks(deployment):
    break_off(deployment, 0.0)
    gateway = deployment.gateways[2]
    connection, _ = start_stream_without_chunks(gateway, "without-chunks-2")
    gateway.kill()
    with connection, pytest.raises(ConnectionResetError):
        while connection.recv(65536):
            pass


def later_stage_of(deployment, request_id):
    """Returns the target of the second stage that runs a request."""
    addresses = [
        row["path"][1]
        for row in deployment.read_journal()
        if row["what"] == "run" and row["request"] == request_id
    ]
    return next(
        (
            target
            for target in deployment.targets.values()
            if deployment.registered_address(target) in addresses
        ),
        None,
    )


@pytest.mark.promise(2)
@pytest.mark.parametrize(
    ("gateway_pauses", "silence_s"),
    [
        (False, STAGE_TIMEOUT_S + 0.2),
        (True, STAGE_TIMEOUT_S + 0.2),
        # As long as a second run is waited for.
        (False, STAGE_TIMEOUT_S + 1.6),
    ],
)
def test_no_answer_closed_while_a_stage_is_silent_looks_complete(
    tmp_path, gateway_pauses, silence_s
):
    request_id = "silent-stage-1"
    deployment = gateway_deployment.Deployment(
        tmp_path, model_target_count=2, stage_timeout_s=STAGE_TIMEOUT_S
    )
    gateway = deployment.gateways[0]
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        try:
            deployment.wait_until_serving()
            break_off(deployment, 0.0)
            sent = pool.submit(send_draft, gateway, request_id)
            stage = process.poll(
                lambda: later_stage_of(deployment, request_id),
                100,
                "a second stage runs the request",
            )
            if gateway_pauses:
                # It reads the events of this time together with the close.
                gateway.freeze()
                time.sleep(0.1)
            stage.freeze()
            time.sleep(silence_s)
            stage.resume()
            gateway.resume()
            exchange = sent.result(2 * CALLER_TIMEOUT_S)
        finally:
            deployment.stop()
    assert exchange.body == b"".join(
        platform_target.event_of(request_id, event_number)
        for event_number in range(1, soak_checks.EVENT_COUNT + 1)
    )
    assert exchange.is_whole
