import pytest

from hemlocktiller._internal.cli.subcommands.exit_codes import ExitCode
from tests.functional import client

EVENTS = {
    "entry-1": [
        {"at_s": 1.0, "event": "admitted", "workspace": "w-1"},
        {"at_s": 4.0, "event": "finished", "tokens": 3},
    ],
    "target-1": [{"at_s": 2.0, "event": "started", "attempt": 1}],
}
KINDS = {"entry-1": "entry", "target-1": "target"}


class Fleet:
    """The stand-ins of two processes."""

    def __init__(self, operators):
        self.operators = operators
        self.processes = {
            name: operators.start(name, "tests.fakes.admin") for name in KINDS
        }
        for name, kind in KINDS.items():
            address = self.processes[name].address
            operators.register(kind, name, address)
            self.report(name, 1)

    def report(self, name, version):
        """Lets a process report a version of the configuration."""
        state = {
            "name": name,
            "data_centre": "dc-1",
            "config_version": version,
            "ready": version > 0,
            "unready": "" if version else "no configuration",
            "events": {"r/1": EVENTS[name]},
        }
        address = self.processes[name].address
        client.json_call(address, "PUT", "/state", state)


@pytest.fixture
def fleet(configured):
    return Fleet(configured)


def test_status_shows_each_process_and_who_lags(fleet):
    run = fleet.operators.run("status")
    assert run.code == ExitCode.DONE
    assert run.output.splitlines() == [
        "store: version 1",
        "NAME      ROLE   DATA CENTRE  CONFIG  STATE",
        "entry-1   entry  dc-1         1       ready",
        "target-1  agent  dc-1         1       ready",
    ]
    fleet.report("target-1", 0)
    run = fleet.operators.run("status")
    assert run.code == ExitCode.INCOMPLETE
    assert run.output.splitlines()[-1].endswith(" 0       no configuration")
    fleet.processes["target-1"].kill()
    run = fleet.operators.run("status", "--json")
    assert run.code == ExitCode.INCOMPLETE
    assert [bool(item["problem"]) for item in run.json()["processes"]] == [
        False,
        True,
    ]


def test_a_process_without_usable_pages_is_a_problem(configured):
    configured.create("entry", "entry-2", "not an object")
    run = configured.run("status")
    assert run.code == ExitCode.INCOMPLETE
    assert "its object names no admin pages" in run.output
    for url in ("nonsense", "ftp://127.0.0.1", "http://127.0.0.1:port"):
        configured.write_settings(admin_pages=[url])
        run = configured.run("status")
        assert (run.code, run.errors) == (ExitCode.INCOMPLETE, "")


def test_status_goes_on_in_an_outage_by_the_listed_pages(fleet):
    urls = [process.address.url() for process in fleet.processes.values()]
    fleet.operators.write_settings(admin_pages=urls)
    fleet.operators.set_faults(outage="refuse")
    run = fleet.operators.run("status")
    assert run.code == ExitCode.DONE
    assert run.output.startswith("store: unavailable\n")
    assert "target-1" in run.output
    run = fleet.operators.run("drain", "entry-1")
    assert run.code == ExitCode.DONE


def test_apply_waits_until_the_version_is_in_force(fleet):
    operators = fleet.operators
    words = ("--wait", "--wait-timeout-s", "0.5")
    run = operators.run("apply", "first.json", *words)
    assert run.code == ExitCode.DONE
    assert "version 1 is in force" in run.errors

    def change(document):
        document["plans"][0]["share"] = 0.5

    operators.edit("first.json", change)
    fleet.report("entry-1", 9)
    run = operators.run("apply", "first.json", *words)
    assert run.code == ExitCode.INCOMPLETE
    assert "target-1: reports version 1" in run.errors
    assert "entry-1" not in run.errors


def test_explain_merges_what_all_processes_know(fleet):
    run = fleet.operators.run("explain", "r/1")
    assert run.code == ExitCode.DONE
    assert run.output.splitlines() == [
        "1970-01-01T00:00:01.000+00:00 entry-1 admitted workspace=w-1",
        "1970-01-01T00:00:02.000+00:00 target-1 started attempt=1",
        "1970-01-01T00:00:04.000+00:00 entry-1 finished tokens=3",
    ]
    run = fleet.operators.run("explain", "r/2")
    assert run.code == ExitCode.NOT_FOUND
    fleet.processes["target-1"].kill()
    run = fleet.operators.run("explain", "r/2")
    assert run.code == ExitCode.INCOMPLETE
    run = fleet.operators.run("explain", "r/1", "--json")
    assert [event["event"] for event in run.json()["events"]] == [
        "admitted",
        "finished",
    ]


def test_drain_lets_a_process_end(fleet):
    run = fleet.operators.run("drain", "target-1", "--wait")
    assert run.code == ExitCode.DONE
    assert run.output == "target-1: draining\ntarget-1: ended\n"
    assert fleet.processes["target-1"].wait() == 0
    run = fleet.operators.run("drain", "target-1")
    assert run.code == ExitCode.INCOMPLETE
    assert fleet.operators.run("drain", "t-9").code == ExitCode.NOT_FOUND


def test_only_a_process_that_does_not_answer_is_forgotten(fleet):
    operators = fleet.operators
    run = operators.run("forget", "target-1")
    assert run.code == ExitCode.INCOMPLETE
    fleet.processes["target-1"].kill()
    assert operators.run("status").code == ExitCode.INCOMPLETE
    assert operators.run("forget", "target-1").code == ExitCode.DONE
    run = operators.run("status")
    assert run.code == ExitCode.DONE
    assert "target-1" not in run.output
    assert operators.run("forget", "target-1").code == ExitCode.NOT_FOUND


def test_leases_are_shown_with_their_fencing_numbers(configured):
    value = {"holder": "entry-1"}
    configured.create("lease", "dc-1.draft", value)
    run = configured.run("leases")
    assert run.output.splitlines()[1].split() == [
        "dc-1.draft",
        "2",
        'holder="entry-1"',
    ]
    shown = configured.run("leases", "--json").json()["leases"]
    assert shown == [{"lease": "dc-1.draft", "version": 2, "state": value}]
