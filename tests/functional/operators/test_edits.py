import json

import pytest

from hemlocktiller._internal.cli.subcommands.exit_codes import ExitCode
from tests.functional.operators import conftest


def _share(index, share):
    def change(document):
        document["plans"][index]["share"] = share

    return change


def _shares(operators):
    document = operators.config_writes()[-1]["value"]["data"]
    return [plan["share"] for plan in document["plans"]]


def test_an_edit_goes_from_get_over_diff_to_apply(configured):
    assert configured.run("get", "edit.json").code == ExitCode.DONE
    configured.edit("edit.json", _share(0, 0.5))
    shown = configured.run("diff", "edit.json")
    assert shown.output == (
        "against version 1:\n  ~ plan gold: share 0.6 -> 0.5\n"
    )
    applied = configured.run("apply", "edit.json", "--json").json()
    assert (applied["outcome"], applied["version"]) == ("applied", 2)
    configured.edit("edit.json", _share(0, 0.4))
    assert configured.run("apply", "edit.json").code == ExitCode.DONE
    assert _shares(configured) == [0.4, 0.4]
    got = configured.run("get", "--json").json()
    assert got["version"] == 3
    assert got["document"]["plans"][0]["share"] == 0.4


def test_two_racing_operators_never_write_over_each_other(configured):
    for name, change in (("a", _share(0, 0.5)), ("b", _share(1, 0.3))):
        configured.run("get", f"{name}.json")
        configured.edit(f"{name}.json", change)
    started = [
        configured.begin(
            "--settings", "operator.json", "apply", f"{name}.json"
        )
        for name in "ab"
    ]
    runs = sorted(map(conftest.end, started))
    assert [run.code for run in runs] == [ExitCode.DONE, ExitCode.LOST_RACE]
    lost = runs[1]
    assert "nothing was written" in lost.errors
    assert lost.output.count("mine, against version 1:") == 1
    assert lost.output.count("theirs, against version 1:") == 1
    assert "share 0.6 -> 0.5" in lost.output
    assert "share 0.4 -> 0.3" in lost.output
    assert _shares(configured) in ([0.5, 0.4], [0.6, 0.3])
    assert len(configured.config_writes()) == 2


def test_an_outdated_base_writes_nothing(configured):
    configured.run("get", "old.json")
    configured.run("get", "new.json")
    configured.edit("new.json", _share(0, 0.5))
    assert configured.run("apply", "new.json").code == ExitCode.DONE
    configured.edit("old.json", _share(1, 0.3))
    lost = configured.run("apply", "old.json", "--json")
    assert lost.code == ExitCode.LOST_RACE
    outcome = lost.json()
    assert outcome["outcome"] == "lost_race"
    assert [change["after"] for change in outcome["mine"]] == [0.3]
    assert [change["after"] for change in outcome["theirs"]] == [0.5]
    assert _shares(configured) == [0.5, 0.4]


@pytest.mark.parametrize("options", [(), ("--base-version", "0")])
def test_a_file_of_unknown_origin_is_not_applied(
    configured, document, options
):
    document["plans"][0]["share"] = 0.1
    configured.write("other.json", document)
    run = configured.run("apply", "other.json", *options)
    assert run.code == ExitCode.LOST_RACE
    assert len(configured.config_writes()) == 1
    run = configured.run("apply", "other.json", "--base-version", "1")
    assert run.code == ExitCode.DONE


def test_an_edit_that_is_in_force_already_is_done(configured, document):
    run = configured.run("apply", "first.json", "--base-version", "0")
    assert run.code == ExitCode.DONE
    assert len(configured.config_writes()) == 1


def test_all_findings_refuse_the_whole_file(configured, document):
    document["plans"][0]["share"] = 7
    document["plans"][1]["color"] = "red"
    document["allowances"][1]["plan"] = "silver"
    configured.write("bad.json", document)
    for words in (("apply", "bad.json"), ("diff", "bad.json")):
        run = configured.run(*words)
        assert run.code == ExitCode.FINDINGS
        assert sorted(
            line.split(": ")[1] for line in run.errors.splitlines()
        ) == [
            "allowances[1].plan",
            "plans",
            "plans[0].share",
            "plans[1].color",
            "plans[1].plan",
        ]
    found = configured.run("check", "bad.json", "--json").json()["findings"]
    assert len(found) == 5
    assert len(configured.config_writes()) == 1


def test_check_needs_neither_store_nor_settings(operators, document):
    path = operators.write("good.json", document)
    run = conftest.end(operators.begin("check", path))
    assert run.code == ExitCode.DONE
    assert "2 plans, 3 workspaces" in run.output


def test_a_lost_reply_is_found_to_be_a_success(configured):
    configured.run("get", "edit.json")
    configured.edit("edit.json", _share(0, 0.5))
    configured.set_faults(lose_replies=1)
    run = configured.run("apply", "edit.json")
    assert (run.code, run.errors) == (ExitCode.DONE, "")
    assert [write["version"] for write in configured.config_writes()] == [1, 2]


@pytest.mark.parametrize("outage", ["refuse", "hang"])
def test_an_outage_is_told_and_nothing_written(configured, outage):
    configured.run("get", "edit.json")
    configured.edit("edit.json", _share(0, 0.5))
    configured.set_faults(outage=outage)
    for words in (("apply", "edit.json"), ("status",), ("leases",)):
        run = configured.run(*words)
        assert run.code == ExitCode.STORE_UNAVAILABLE, run
        assert "the store is unavailable" in run.errors
    configured.set_faults()
    assert len(configured.config_writes()) == 1
    assert configured.run("apply", "edit.json").code == ExitCode.DONE


def test_get_does_not_replace_a_file_unasked(configured):
    configured.write("edit.json", {"mine": True})
    assert configured.run("get", "edit.json").code == ExitCode.USAGE
    text = (configured.folder / "edit.json").read_text()
    assert json.loads(text) == {"mine": True}
    assert configured.run("get", "edit.json", "--force").code == ExitCode.DONE


def test_bad_settings_and_command_lines_have_their_codes(operators):
    operators.write_settings(colour="red")
    run = operators.run("status")
    assert run.code == ExitCode.BAD_SETTINGS
    assert "colour: is not a known key" in run.errors
    assert operators.run("paint").code == ExitCode.USAGE
    assert operators.run("--version").output == "0.1.0\n"
    helped = operators.run("--help")
    for name in ("apply", "check", "diff", "drain", "explain", "get"):
        assert name in helped.output
    assert "Exit codes" in helped.output
