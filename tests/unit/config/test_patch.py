"""Tests of configuration updates, sent in full or as a merge patch."""

import zlib

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from hemlocktiller._internal.config import check
from hemlocktiller._internal.config import patch
from hemlocktiller._internal.config import snapshot

MANY_EXAMPLES = settings(max_examples=200)

names = strategies.text(min_size=1, max_size=8)
amounts = strategies.floats(0, 1000)
name_lists = strategies.lists(names, max_size=3, unique=True)


def _unique_items(key, fields, optional):
    return strategies.lists(
        strategies.fixed_dictionaries(
            {key: names, **fields}, optional=optional
        ),
        unique_by=lambda item: item[key],
        max_size=4,
    )


@strategies.composite
def documents(draw):
    limits = strategies.fixed_dictionaries(
        {},
        optional={
            "requests_per_s": amounts,
            "output_tokens": amounts.map(int),
        },
    )
    plans = draw(
        _unique_items(
            "plan",
            {
                "share": strategies.sampled_from([0.0, 0.1, 0.25]),
                "worth": amounts,
                "deadline_s": strategies.floats(1, 10),
                "workspaces": name_lists,
            },
            {"limits": limits},
        )
    )
    used_names = set()
    for plan in plans:
        unused_names = [
            name for name in plan["workspaces"] if name not in used_names
        ]
        used_names.update(unused_names)
        plan["workspaces"] = [
            {"workspace": name, "key_digest": snapshot.key_digest(name)}
            for name in unused_names
        ]
    allowances = [
        {"plan": plan["plan"], "models": draw(name_lists), "services": []}
        for plan in plans
    ]
    return {"plans": plans, "allowances": allowances}


@MANY_EXAMPLES
@given(documents(), documents())
def test_an_update_leads_to_the_newer_document(old, new):
    before = snapshot.build(3, old)
    after = snapshot.build(5, new)
    for base in (None, snapshot.EMPTY, before):
        update = patch.build_update(base, after)
        applied = patch.apply_update(before, update).ok
        assert applied.document == new
        assert applied.version == 5


@MANY_EXAMPLES
@given(documents(), documents(), strategies.integers(0, 5))
def test_an_update_never_leads_to_a_lower_version(old, new, version):
    current = snapshot.build(5, old)
    update = patch.build_update(None, snapshot.build(version, new))
    assert patch.apply_update(current, update).error == patch.NOT_NEWER


@MANY_EXAMPLES
@example(b"{}", 1)
@given(strategies.binary(max_size=64), strategies.integers(0, 1))
def test_any_body_is_refused_or_read(body, base_version):
    """A body is malformed, or leads to a whole and newer document."""
    current = snapshot.build(1, {"plans": [], "allowances": []})
    for content in (body, zlib.compress(body)):
        update = patch.build_update(None, snapshot.build(2, current.document))
        update |= {"body": content, "base_version": base_version}
        applied = patch.apply_update(current, update)
        if applied.is_error():
            assert applied.error == patch.MALFORMED
        else:
            assert applied.ok.version == 2
            assert check.check(applied.ok.document) == []


@pytest.fixture
def edited_snapshots(config_document):
    old_snapshot = snapshot.build(3, config_document)
    plans = [dict(plan) for plan in config_document["plans"]]
    plans[0]["share"] = 0.5
    del plans[0]["limits"]
    return old_snapshot, snapshot.build(4, dict(config_document, plans=plans))


def test_single_edit_is_encoded_as_a_patch(edited_snapshots):
    update = patch.build_update(*edited_snapshots)
    assert update["base_version"] == 3
    assert zlib.decompress(update["body"]) == (
        b'{"plans":{"gold":{"limits":null,"share":0.5}}}'
    )


def test_update_is_built_once_for_all_peers(edited_snapshots):
    update_for = patch.cached_update_builder(*edited_snapshots)
    assert update_for(3)["base_version"] == 3
    assert update_for(3) is update_for(3)
    for version in (0, 2):
        assert update_for(version)["base_version"] == 0
        assert update_for(version) is update_for(0)
    assert (
        patch.cached_update_builder(snapshot.EMPTY, edited_snapshots[1])(0)[
            "base_version"
        ]
        == 0
    )


def test_patch_for_another_base_version_is_a_mismatch(edited_snapshots):
    old_snapshot, new_snapshot = edited_snapshots
    update = patch.build_update(old_snapshot, new_snapshot)
    for version in (2, 0):
        current = snapshot.build(version, old_snapshot.document)
        assert patch.apply_update(current, update).error == patch.BASE_MISMATCH


def test_reordered_plans_are_encoded_as_a_full_document(edited_snapshots):
    old_snapshot, new_snapshot = edited_snapshots
    reordered = dict(
        new_snapshot.document, plans=new_snapshot.document["plans"][::-1]
    )
    update = patch.build_update(old_snapshot, snapshot.build(9, reordered))
    assert update["base_version"] == 0
    assert patch.apply_update(old_snapshot, update).ok.document == reordered


@pytest.mark.parametrize(
    "content",
    [
        b"[]",
        b'{"plans":{"x":3}}',
        b'{"plans":{"x":{"workspaces":{"y":%s}}}}' % (b"[" * 900 + b"]" * 900),
        b'{"plans":' * 980 + b"0" + b"}" * 980,
        b"[" * 100_000,
    ],
)
@pytest.mark.parametrize("base_version", [0, 3])
def test_body_with_findings_is_malformed(
    edited_snapshots, content, base_version
):
    old_snapshot, _ = edited_snapshots
    update = patch.build_update(None, snapshot.build(9, old_snapshot.document))
    update["body"] = zlib.compress(content)
    update["base_version"] = base_version
    assert patch.apply_update(old_snapshot, update).error == patch.MALFORMED


def test_body_over_the_decompressed_size_limit_is_malformed(edited_snapshots):
    old_snapshot, _ = edited_snapshots
    update = patch.build_update(None, snapshot.build(9, old_snapshot.document))
    update["body"] = zlib.compress(b" " * (patch.MAX_DECOMPRESSED_BYTES + 1))
    assert patch.apply_update(old_snapshot, update).error == patch.MALFORMED
