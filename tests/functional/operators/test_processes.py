"""Subcommands on processes: status, explain, drain, forget and leases."""

import pytest

from hemlocktiller._internal.cli.subcommands.exit_codes import ExitCode
from tests.functional import client

EVENTS_BY_PROCESS = {
    "entry-1": [
        {"at_s": 1.0, "event": "admitted", "workspace": "w-1"},
        {"at_s": 4.0, "event": "finished", "tokens": 3},
    ],
    "target-1": [{"at_s": 2.0, "event": "started", "attempt": 1}],
}
KIND_BY_PROCESS = {"entry-1": "entry", "target-1": "target"}


class ProcessStandIns:
    """Stand-ins of an entry and a target, registered in the store."""

    def __init__(self, operators):
        self.operators = operators
        self.processes = {
            name: operators.start(name, "tests.fakes.admin")
            for name in KIND_BY_PROCESS
        }
        for name, kind in KIND_BY_PROCESS.items():
            address = self.processes[name].address
            operators.register(kind, name, address)
            self.report_version(name, 1)

    def report_version(self, name, version):
        """Makes a process report a configuration version; 0 is none."""
        reported_state = {
            "name": name,
            "data_centre": "dc-1",
            "config_version": version,
            "ready": version > 0,
            "unready": "" if version else "no configuration",
            "events": {"r/1": EVENTS_BY_PROCESS[name]},
        }
        address = self.processes[name].address
        client.json_call(address, "PUT", "/state", reported_state)


@pytest.fixture
def stand_ins(configured_operators):
    """Two processes that report the stored configuration version."""
    return ProcessStandIns(configured_operators)


def test_status_lists_processes_and_reports_those_behind(stand_ins):
    result = stand_ins.operators.run("status")
    assert result.exit_code == ExitCode.DONE
    assert result.stdout.splitlines() == [
        "store: version 1",
        "NAME      ROLE   DATA CENTRE  CONFIG  STATE",
        "entry-1   entry  dc-1         1       ready",
        "target-1  agent  dc-1         1       ready",
    ]
    stand_ins.report_version("target-1", 0)
    result = stand_ins.operators.run("status")
    assert result.exit_code == ExitCode.INCOMPLETE
    assert result.stdout.splitlines()[-1].endswith(" 0       no configuration")
    stand_ins.processes["target-1"].kill()
    result = stand_ins.operators.run("status", "--json")
    assert result.exit_code == ExitCode.INCOMPLETE
    assert [bool(item["problem"]) for item in result.json()["processes"]] == [
        False,
        True,
    ]


def test_status_reports_processes_without_a_usable_admin_address(
    configured_operators,
):
    configured_operators.create_object("entry", "entry-2", "not an object")
    result = configured_operators.run("status")
    assert result.exit_code == ExitCode.INCOMPLETE
    assert "its object names no admin pages" in result.stdout
    for url in ("nonsense", "ftp://127.0.0.1", "http://127.0.0.1:port"):
        configured_operators.write_settings(admin_pages=[url])
        result = configured_operators.run("status")
        assert (result.exit_code, result.stderr) == (ExitCode.INCOMPLETE, "")


def test_status_uses_the_admin_pages_of_the_settings_in_a_store_outage(
    stand_ins,
):
    urls = [process.address.url() for process in stand_ins.processes.values()]
    stand_ins.operators.write_settings(admin_pages=urls)
    stand_ins.operators.set_faults(outage="refuse")
    result = stand_ins.operators.run("status")
    assert result.exit_code == ExitCode.DONE
    assert result.stdout.startswith("store: unavailable\n")
    assert "target-1" in result.stdout
    result = stand_ins.operators.run("drain", "entry-1")
    assert result.exit_code == ExitCode.DONE


def test_apply_waits_until_all_processes_report_the_version(stand_ins):
    operators = stand_ins.operators
    arguments = ("--wait", "--wait-timeout-s", "0.5")
    result = operators.run("apply", "first.json", *arguments)
    assert result.exit_code == ExitCode.DONE
    assert "version 1 is in force" in result.stderr

    def set_share(document):
        document["plans"][0]["share"] = 0.5

    operators.edit_file("first.json", set_share)
    stand_ins.report_version("entry-1", 9)
    result = operators.run("apply", "first.json", *arguments)
    assert result.exit_code == ExitCode.INCOMPLETE
    assert "target-1: reports version 1" in result.stderr
    assert "entry-1" not in result.stderr


def test_explain_merges_the_events_of_all_processes(stand_ins):
    result = stand_ins.operators.run("explain", "r/1")
    assert result.exit_code == ExitCode.DONE
    assert result.stdout.splitlines() == [
        "1970-01-01T00:00:01.000+00:00 entry-1 admitted workspace=w-1",
        "1970-01-01T00:00:02.000+00:00 target-1 started attempt=1",
        "1970-01-01T00:00:04.000+00:00 entry-1 finished tokens=3",
    ]
    result = stand_ins.operators.run("explain", "r/2")
    assert result.exit_code == ExitCode.NOT_FOUND
    stand_ins.processes["target-1"].kill()
    result = stand_ins.operators.run("explain", "r/2")
    assert result.exit_code == ExitCode.INCOMPLETE
    result = stand_ins.operators.run("explain", "r/1", "--json")
    assert [event["event"] for event in result.json()["events"]] == [
        "admitted",
        "finished",
    ]


def test_drain_waits_until_the_process_exits(stand_ins):
    result = stand_ins.operators.run("drain", "target-1", "--wait")
    assert result.exit_code == ExitCode.DONE
    assert result.stdout == "target-1: draining\ntarget-1: ended\n"
    assert stand_ins.processes["target-1"].wait() == 0
    result = stand_ins.operators.run("drain", "target-1")
    assert result.exit_code == ExitCode.INCOMPLETE
    assert (
        stand_ins.operators.run("drain", "t-9").exit_code == ExitCode.NOT_FOUND
    )


def test_forget_removes_only_processes_that_do_not_answer(stand_ins):
    operators = stand_ins.operators
    result = operators.run("forget", "target-1")
    assert result.exit_code == ExitCode.INCOMPLETE
    stand_ins.processes["target-1"].kill()
    assert operators.run("status").exit_code == ExitCode.INCOMPLETE
    assert operators.run("forget", "target-1").exit_code == ExitCode.DONE
    result = operators.run("status")
    assert result.exit_code == ExitCode.DONE
    assert "target-1" not in result.stdout
    assert operators.run("forget", "target-1").exit_code == ExitCode.NOT_FOUND


def test_leases_are_listed_with_their_fencing_numbers(configured_operators):
    value = {"holder": "entry-1"}
    configured_operators.create_object("lease", "dc-1.draft", value)
    result = configured_operators.run("leases")
    assert result.stdout.splitlines()[1].split() == [
        "dc-1.draft",
        "2",
        'holder="entry-1"',
    ]
    leases = configured_operators.run("leases", "--json").json()["leases"]
    assert leases == [{"lease": "dc-1.draft", "version": 2, "state": value}]
