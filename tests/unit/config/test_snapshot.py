import pytest

from hemlocktiller._internal.config import snapshot


@pytest.fixture
def config_snapshot(config_document):
    return snapshot.build(7, config_document)


def test_key_resolves_to_its_workspace_and_plan(config_snapshot):
    view = snapshot.workspace_of_key(config_snapshot, "key-2")
    assert view.workspace == "w-2"
    assert view.plan["plan"] == "gold"
    assert view.allowance["models"] == ["draft"]


@pytest.mark.parametrize("key", ["", "key-4", "key-1 ", "\udc80"])
def test_unknown_key_resolves_to_none(config_snapshot, key):
    assert snapshot.workspace_of_key(config_snapshot, key) is None


def test_allowances_restrict_models_services_and_targets(config_snapshot):
    gold = config_snapshot.workspaces["w-1"]
    basic = config_snapshot.workspaces["w-3"]
    assert snapshot.may_use_model(gold, "draft")
    assert not snapshot.may_use_model(gold, "other")
    assert snapshot.may_use_service(gold, "bookings")
    assert not snapshot.may_use_service(basic, "bookings")
    assert snapshot.may_use_target(gold, "dc-1", "a")
    assert not snapshot.may_use_target(gold, "dc-1", "c")
    assert not snapshot.may_use_target(gold, "dc-2", "a")
    assert snapshot.may_use_target(gold, "dc-1", "")
    assert snapshot.may_use_target(basic, "dc-2", "c")


def test_unset_limits_have_defaults(config_snapshot):
    limits = snapshot.limits(config_snapshot.workspaces["w-1"])
    assert limits["requests_per_s"] == 7
    assert limits["output_tokens"] == 4096
    assert (
        snapshot.limits(config_snapshot.workspaces["w-3"])["requests_per_s"]
        == 50
    )


def test_plan_without_allowance_may_use_no_model(config_document):
    config_document["allowances"] = []
    config_snapshot = snapshot.build(1, config_document)
    assert not snapshot.may_use_model(
        config_snapshot.workspaces["w-1"], "draft"
    )


def test_empty_snapshot_has_no_workspace():
    assert snapshot.EMPTY.version == 0
    assert snapshot.workspace_of_key(snapshot.EMPTY, "") is None
