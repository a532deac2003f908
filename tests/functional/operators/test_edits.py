"""Edits of the configuration: `get`, `check`, `diff` and `apply`."""

import json

import pytest

from hemlocktiller._internal.cli.subcommands.exit_codes import ExitCode
from tests.functional.operators import conftest


def _set_share(index, share):
    """Returns a function that sets the share of a plan in a document."""

    def change(document):
        document["plans"][index]["share"] = share

    return change


def _stored_shares(operators):
    """Returns the shares of all plans in the stored configuration."""
    document = operators.config_writes()[-1]["value"]["data"]
    return [plan["share"] for plan in document["plans"]]


def test_edit_by_get_diff_and_apply(configured_operators):
    assert (
        configured_operators.run("get", "edit.json").exit_code == ExitCode.DONE
    )
    configured_operators.edit_file("edit.json", _set_share(0, 0.5))
    diff_result = configured_operators.run("diff", "edit.json")
    assert diff_result.stdout == (
        "against version 1:\n  ~ plan gold: share 0.6 -> 0.5\n"
    )
    applied_result = configured_operators.run(
        "apply", "edit.json", "--json"
    ).json()
    assert (applied_result["outcome"], applied_result["version"]) == (
        "applied",
        2,
    )
    configured_operators.edit_file("edit.json", _set_share(0, 0.4))
    assert (
        configured_operators.run("apply", "edit.json").exit_code
        == ExitCode.DONE
    )
    assert _stored_shares(configured_operators) == [0.4, 0.4]
    fetched = configured_operators.run("get", "--json").json()
    assert fetched["version"] == 3
    assert fetched["document"]["plans"][0]["share"] == 0.4


def test_concurrent_operators_do_not_overwrite_each_other(
    configured_operators,
):
    for name, change in (("a", _set_share(0, 0.5)), ("b", _set_share(1, 0.3))):
        configured_operators.run("get", f"{name}.json")
        configured_operators.edit_file(f"{name}.json", change)
    children = [
        configured_operators.begin(
            "--settings", "operator.json", "apply", f"{name}.json"
        )
        for name in "ab"
    ]
    results = sorted(map(conftest.wait_for_exit, children))
    assert [result.exit_code for result in results] == [
        ExitCode.DONE,
        ExitCode.LOST_RACE,
    ]
    lost_race = results[1]
    assert "nothing was written" in lost_race.stderr
    assert lost_race.stdout.count("mine, against version 1:") == 1
    assert lost_race.stdout.count("theirs, against version 1:") == 1
    assert "share 0.6 -> 0.5" in lost_race.stdout
    assert "share 0.4 -> 0.3" in lost_race.stdout
    assert _stored_shares(configured_operators) in ([0.5, 0.4], [0.6, 0.3])
    assert len(configured_operators.config_writes()) == 2


def test_apply_on_an_outdated_base_writes_nothing(configured_operators):
    configured_operators.run("get", "old.json")
    configured_operators.run("get", "new.json")
    configured_operators.edit_file("new.json", _set_share(0, 0.5))
    assert (
        configured_operators.run("apply", "new.json").exit_code
        == ExitCode.DONE
    )
    configured_operators.edit_file("old.json", _set_share(1, 0.3))
    lost_race = configured_operators.run("apply", "old.json", "--json")
    assert lost_race.exit_code == ExitCode.LOST_RACE
    outcome = lost_race.json()
    assert outcome["outcome"] == "lost_race"
    assert [change["after"] for change in outcome["mine"]] == [0.3]
    assert [change["after"] for change in outcome["theirs"]] == [0.5]
    assert _stored_shares(configured_operators) == [0.5, 0.4]


@pytest.mark.parametrize("options", [(), ("--base-version", "0")])
def test_file_without_a_base_version_is_not_applied(
    configured_operators, document, options
):
    document["plans"][0]["share"] = 0.1
    configured_operators.write("other.json", document)
    result = configured_operators.run("apply", "other.json", *options)
    assert result.exit_code == ExitCode.LOST_RACE
    assert len(configured_operators.config_writes()) == 1
    result = configured_operators.run(
        "apply", "other.json", "--base-version", "1"
    )
    assert result.exit_code == ExitCode.DONE


def test_apply_of_the_stored_document_succeeds_without_a_write(
    configured_operators, document
):
    result = configured_operators.run(
        "apply", "first.json", "--base-version", "0"
    )
    assert result.exit_code == ExitCode.DONE
    assert len(configured_operators.config_writes()) == 1


def test_invalid_file_is_refused_with_all_findings(
    configured_operators, document
):
    document["plans"][0]["share"] = 7
    document["plans"][1]["color"] = "red"
    document["allowances"][1]["plan"] = "silver"
    configured_operators.write("bad.json", document)
    for arguments in (("apply", "bad.json"), ("diff", "bad.json")):
        result = configured_operators.run(*arguments)
        assert result.exit_code == ExitCode.FINDINGS
        assert sorted(
            line.split(": ")[1] for line in result.stderr.splitlines()
        ) == [
            "allowances[1].plan",
            "plans",
            "plans[0].share",
            "plans[1].color",
            "plans[1].plan",
        ]
    findings = configured_operators.run("check", "bad.json", "--json").json()[
        "findings"
    ]
    assert len(findings) == 5
    assert len(configured_operators.config_writes()) == 1


def test_check_needs_neither_store_nor_settings(operators, document):
    path = operators.write("good.json", document)
    result = conftest.wait_for_exit(operators.begin("check", path))
    assert result.exit_code == ExitCode.DONE
    assert "2 plans, 3 workspaces" in result.stdout


def test_apply_succeeds_when_the_reply_to_its_write_is_lost(
    configured_operators,
):
    configured_operators.run("get", "edit.json")
    configured_operators.edit_file("edit.json", _set_share(0, 0.5))
    configured_operators.set_faults(lose_replies=1)
    result = configured_operators.run("apply", "edit.json")
    assert (result.exit_code, result.stderr) == (ExitCode.DONE, "")
    assert [
        write["version"] for write in configured_operators.config_writes()
    ] == [1, 2]


@pytest.mark.parametrize("outage", ["refuse", "hang"])
def test_store_outage_is_reported_and_nothing_is_written(
    configured_operators, outage
):
    configured_operators.run("get", "edit.json")
    configured_operators.edit_file("edit.json", _set_share(0, 0.5))
    configured_operators.set_faults(outage=outage)
    for arguments in (("apply", "edit.json"), ("status",), ("leases",)):
        result = configured_operators.run(*arguments)
        assert result.exit_code == ExitCode.STORE_UNAVAILABLE, result
        assert "the store is unavailable" in result.stderr
    configured_operators.set_faults()
    assert len(configured_operators.config_writes()) == 1
    assert (
        configured_operators.run("apply", "edit.json").exit_code
        == ExitCode.DONE
    )


def test_get_replaces_an_existing_file_only_with_force(configured_operators):
    configured_operators.write("edit.json", {"mine": True})
    assert (
        configured_operators.run("get", "edit.json").exit_code
        == ExitCode.USAGE
    )
    file_text = (configured_operators.folder / "edit.json").read_text()
    assert json.loads(file_text) == {"mine": True}
    assert (
        configured_operators.run("get", "edit.json", "--force").exit_code
        == ExitCode.DONE
    )


def test_exit_codes_of_invalid_settings_and_command_lines(operators):
    operators.write_settings(colour="red")
    result = operators.run("status")
    assert result.exit_code == ExitCode.BAD_SETTINGS
    assert "colour: is not a known key" in result.stderr
    assert operators.run("paint").exit_code == ExitCode.USAGE
    assert operators.run("--version").stdout == "0.1.0\n"
    help_result = operators.run("--help")
    for name in ("apply", "check", "diff", "drain", "explain", "get"):
        assert name in help_result.stdout
    assert "Exit codes" in help_result.stdout
