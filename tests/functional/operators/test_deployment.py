"""The operators' program against real agents and an entry."""

import pytest

from hemlocktiller._internal.cli.subcommands.exit_codes import ExitCode
from tests.functional import client
from tests.functional import harness
from tests.functional.operators import conftest

API_KEY = harness.KEYS["events"]
PROCESS_NAMES = ["b0", "c0s0", "c0s1", "e0"]


@pytest.fixture
def deployment_with_operators(deployment):
    """One chain, a booking service and an entry, with the program."""
    harness.start_chains(deployment, chains=1)
    harness.start_bookings(deployment, count=1)
    deployment.start_entry("e0")
    deployment.wait_ready()
    store = deployment.platform.address
    return deployment, conftest.Operators(deployment.directory, store)


def test_operator_edits_inspects_and_drains_a_deployment(
    deployment_with_operators,
):
    deployment, operators = deployment_with_operators
    processes = operators.run("status", "--json").json()["processes"]
    assert sorted(item["name"] for item in processes) == PROCESS_NAMES
    assert all(item["status"]["ready"] for item in processes)

    assert operators.run("get", "edit.json").exit_code == ExitCode.DONE

    def set_deadline(document):
        document["plans"][0]["deadline_s"] = 20.0

    operators.edit_file("edit.json", set_deadline)
    result = operators.run("apply", "edit.json", "--wait", "--json")
    assert result.exit_code == ExitCode.DONE
    assert result.json()["outcome"] == "applied"
    result = operators.run("status")
    assert result.exit_code == ExitCode.DONE
    assert result.stdout.count(f" {result.stdout.split()[2]} ") == len(
        PROCESS_NAMES
    )

    entry = deployment.callers("e0")
    exchange = client.complete(entry, API_KEY, "draft", "a menu")
    result = operators.run("explain", exchange.request, "--json")
    assert result.exit_code == ExitCode.DONE
    events = result.json()["events"]
    assert {event["process"] for event in events} >= {"e0"}
    event_times_s = [event["at_s"] for event in events]
    assert event_times_s == sorted(event_times_s)

    result = operators.run("drain", "e0", "--wait")
    assert result.exit_code == ExitCode.DONE
    assert deployment.entries["e0"].wait() == 0
