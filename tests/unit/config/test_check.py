import pytest

from hemlocktiller._internal import findings
from hemlocktiller._internal.config import check


def _sentences(document):
    return [
        findings.format_finding(finding) for finding in check.check(document)
    ]


def test_a_good_configuration_has_no_findings(config_document):
    assert check.check(config_document) == []
    accepted = check.build_snapshot(3, config_document).ok
    assert accepted.version == 3
    assert list(accepted.workspaces) == ["w-1", "w-2", "w-3"]


def test_both_lists_are_checked_against_each_other(config_document):
    plans = config_document["plans"]
    plans[0]["share"] = 0.7
    plans[1]["workspaces"].append(dict(plans[0]["workspaces"][0]))
    plans.append(dict(plans[1], share=0, workspaces=[]))
    plans.append(dict(plans[1], plan="bare", share=0, workspaces=[]))
    allowances = config_document["allowances"]
    allowances.append({"plan": "none", "models": [], "services": []})
    allowances.append(dict(allowances[0]))
    assert sorted(_sentences(config_document)) == [
        "allowances[2].plan: 'none' is not the name of a plan",
        "allowances[3].plan: is the same as allowances[0].plan",
        "plans: have shares of 1.1 together, over 1",
        "plans[1].workspaces[1].key_digest: is the same as "
        "plans[0].workspaces[0].key_digest",
        "plans[1].workspaces[1].workspace: is the same as "
        "plans[0].workspaces[0].workspace",
        "plans[2].plan: is the same as plans[1].plan",
        "plans[3].plan: 'bare' has no allowance",
    ]


def test_findings_of_schema_and_cross_checks_come_together(config_document):
    config_document["plans"][0]["share"] = "half"
    config_document["plans"][0]["colour"] = "red"
    config_document["plans"][1]["workspaces"][0]["key_digest"] = "key-3"
    config_document["allowances"][1]["plan"] = "silver"
    assert sorted(_sentences(config_document)) == [
        "allowances[1].plan: 'silver' is not the name of a plan",
        "plans[0].colour: is not a known key",
        "plans[0].share: must be a number",
        "plans[1].plan: 'basic' has no allowance",
        "plans[1].workspaces[0].key_digest: "
        "must match the pattern ^[0-9a-f]{64}$",
    ]


def test_a_share_that_is_not_finite_is_a_finding(config_document):
    config_document["plans"][0]["share"] = float("nan")
    assert "plans[0].share: must be a finite number" in _sentences(
        config_document
    )


def test_shares_may_add_up_to_one_in_floats(config_document):
    first = config_document["plans"][0]
    for index in range(10):
        plan = dict(first, plan=f"p-{index}", share=0.1, workspaces=[])
        config_document["plans"].append(plan)
        allowance = dict(config_document["allowances"][0], plan=f"p-{index}")
        config_document["allowances"].append(allowance)
    for plan in config_document["plans"][:2]:
        plan["share"] = 0
    assert check.check(config_document) == []


@pytest.mark.parametrize(
    "document",
    [
        None,
        [],
        {"plans": {}, "allowances": 1},
        {"plans": [[], {"plan": 3, "workspaces": [0]}], "allowances": [""]},
    ],
)
def test_any_value_is_answered_with_findings(document):
    assert check.check(document)
    assert check.build_snapshot(1, document).is_error()


def test_a_document_over_the_size_of_an_object_is_a_finding(config_document):
    models = [f"model-{index:0200}" for index in range(6000)]
    config_document["allowances"][0]["models"] = models
    assert "over 990000" in _sentences(config_document)[-1]


@pytest.mark.parametrize("depth", [40, 900, 100_000])
def test_a_document_nested_too_deep_is_a_finding(config_document, depth):
    nested = []
    for _ in range(depth):
        nested = [nested]
    config_document["plans"][0]["share"] = nested
    assert _sentences(config_document) == ["is nested over 32 levels deep"]
