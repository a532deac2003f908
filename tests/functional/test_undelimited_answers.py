"""Answers without length or chunks, which end with their connection."""

import http.client
import json

import pytest

from tests.fakes import platform_target
from tests.functional import gateway_deployment
from tests.functional import gateway_soak

STREAM_COUNT = 12
CALLER_TIMEOUT_S = 8.0


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


@pytest.mark.promise(2)
@pytest.mark.parametrize("ratio", [0.0, 0.4])
def test_no_answer_broken_off_by_a_target_looks_complete(deployment, ratio):
    break_off(deployment, ratio)
    gateway = deployment.gateways[0]
    whole_count = 0
    for number in range(STREAM_COUNT):
        connection = http.client.HTTPConnection(
            gateway.address.host,
            gateway.address.port,
            timeout=CALLER_TIMEOUT_S,
        )
        request_id = f"undelimited-{ratio}-{number}"
        exchange = gateway_soak.send(
            connection, gateway.name, "draft", request_id
        )
        connection.close()
        if exchange.is_whole and exchange.status == 200:
            whole_count += 1
            assert exchange.body == b"".join(
                platform_target.event_of(request_id, event_number)
                for event_number in range(1, gateway_soak.EVENT_COUNT + 1)
            )
    assert whole_count > STREAM_COUNT / 2
