import copy

from hemlocktiller._internal.config import diff


def _lines(old, new):
    return [
        diff.format_change(change) for change in diff.list_changes(old, new)
    ]


def test_equal_documents_have_no_changes(config_document):
    assert (
        diff.list_changes(config_document, copy.deepcopy(config_document))
        == []
    )


def test_each_change_is_one_line(config_document):
    new = copy.deepcopy(config_document)
    new["plans"][0]["share"] = 0.5
    new["plans"][0]["limits"] = {"output_tokens": 9}
    moved = new["plans"][0]["workspaces"].pop()
    new["plans"][1]["workspaces"] = [moved]
    new["allowances"][0]["models"] = ["menu", "draft"]
    del new["allowances"][0]["data_centres"]
    new["allowances"][1]["models"] = []
    new["plans"].append(
        {
            "plan": "trial",
            "share": 0,
            "worth": 1,
            "deadline_s": 9,
            "workspaces": [],
        }
    )
    assert _lines(config_document, new) == [
        "~ plan gold: share 0.6 -> 0.5",
        "~ plan gold: limits.requests_per_s 7 -> (none)",
        "~ plan gold: limits.output_tokens (none) -> 9",
        '~ workspace w-2: plan "gold" -> "basic"',
        '- workspace w-3: plan "basic", key_digest d9ef8196557c...',
        "~ allowance gold: models +menu",
        "~ allowance gold: data_centres -dc-1",
        "~ allowance basic: models -draft",
        "+ plan trial: share 0, worth 1, deadline_s 9",
    ]


def test_a_change_of_order_is_told(config_document):
    new = copy.deepcopy(config_document)
    new["plans"].reverse()
    assert _lines(config_document, new) == [
        "~ order the lists: differ in order only"
    ]
