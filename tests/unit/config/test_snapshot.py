import pytest

from hemlocktiller._internal.config import snapshot


@pytest.fixture
def built(config_document):
    return snapshot.build(7, config_document)


def test_a_key_leads_to_its_workspace_and_plan(built):
    view = snapshot.workspace_of_key(built, "key-2")
    assert view.workspace == "w-2"
    assert view.plan["plan"] == "gold"
    assert view.allowance["models"] == ["draft"]


@pytest.mark.parametrize("key", ["", "key-4", "key-1 ", "\udc80"])
def test_an_unknown_key_leads_nowhere(built, key):
    assert snapshot.workspace_of_key(built, key) is None


def test_allowances_bound_what_a_workspace_may_use(built):
    gold = built.workspaces["w-1"]
    basic = built.workspaces["w-3"]
    assert snapshot.may_use_model(gold, "draft")
    assert not snapshot.may_use_model(gold, "other")
    assert snapshot.may_use_service(gold, "bookings")
    assert not snapshot.may_use_service(basic, "bookings")
    assert snapshot.may_use_target(gold, "dc-1", "a")
    assert not snapshot.may_use_target(gold, "dc-1", "c")
    assert not snapshot.may_use_target(gold, "dc-2", "a")
    assert snapshot.may_use_target(gold, "dc-1", "")
    assert snapshot.may_use_target(basic, "dc-2", "c")


def test_limits_have_their_defaults(built):
    limits = snapshot.limits(built.workspaces["w-1"])
    assert limits["requests_per_s"] == 7
    assert limits["output_tokens"] == 4096
    assert snapshot.limits(built.workspaces["w-3"])["requests_per_s"] == 50


def test_a_plan_without_allowance_may_use_nothing(config_document):
    config_document["allowances"] = []
    built = snapshot.build(1, config_document)
    assert not snapshot.may_use_model(built.workspaces["w-1"], "draft")


def test_the_empty_snapshot_knows_nobody():
    assert snapshot.EMPTY.version == 0
    assert snapshot.workspace_of_key(snapshot.EMPTY, "") is None
