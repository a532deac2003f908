"""The operators' program against the programs that it operates."""

import pytest

from hemlocktiller._internal.cli.subcommands.exit_codes import ExitCode
from tests.functional import client
from tests.functional import harness
from tests.functional.operators import conftest

KEY = harness.KEYS["events"]
PROCESSES = ["b0", "c0s0", "c0s1", "e0"]


@pytest.fixture
def running(deployment):
    harness.start_chains(deployment, chains=1)
    harness.start_bookings(deployment, count=1)
    deployment.start_entry("e0")
    deployment.wait_ready()
    store = deployment.platform.address
    return deployment, conftest.Operators(deployment.directory, store)


def test_an_operator_edits_looks_and_drains(running):
    deployment, operators = running
    shown = operators.run("status", "--json").json()["processes"]
    assert sorted(item["name"] for item in shown) == PROCESSES
    assert all(item["status"]["ready"] for item in shown)

    assert operators.run("get", "edit.json").code == ExitCode.DONE

    def change(document):
        document["plans"][0]["deadline_s"] = 20.0

    operators.edit("edit.json", change)
    run = operators.run("apply", "edit.json", "--wait", "--json")
    assert run.code == ExitCode.DONE
    assert run.json()["outcome"] == "applied"
    run = operators.run("status")
    assert run.code == ExitCode.DONE
    assert run.output.count(f" {run.output.split()[2]} ") == len(PROCESSES)

    entry = deployment.callers("e0")
    answer = client.complete(entry, KEY, "draft", "a menu")
    run = operators.run("explain", answer.request, "--json")
    assert run.code == ExitCode.DONE
    events = run.json()["events"]
    assert {event["process"] for event in events} >= {"e0"}
    times = [event["at_s"] for event in events]
    assert times == sorted(times)

    run = operators.run("drain", "e0", "--wait")
    assert run.code == ExitCode.DONE
    assert deployment.entries["e0"].wait() == 0
