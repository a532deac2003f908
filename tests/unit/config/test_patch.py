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


def _list_of(key, fields, optional):
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
        _list_of(
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
    taken = set()
    for plan in plans:
        fresh = [name for name in plan["workspaces"] if name not in taken]
        taken.update(fresh)
        plan["workspaces"] = [
            {"workspace": name, "key_digest": snapshot.key_digest(name)}
            for name in fresh
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
def edited(config_document):
    before = snapshot.build(3, config_document)
    plans = [dict(plan) for plan in config_document["plans"]]
    plans[0]["share"] = 0.5
    del plans[0]["limits"]
    return before, snapshot.build(4, dict(config_document, plans=plans))


def test_one_edit_goes_as_a_patch(edited):
    update = patch.build_update(*edited)
    assert update["base_version"] == 3
    assert zlib.decompress(update["body"]) == (
        b'{"plans":{"gold":{"limits":null,"share":0.5}}}'
    )


def test_an_update_is_made_once_for_all_peers(edited):
    update_for = patch.cached_update_builder(*edited)
    assert update_for(3)["base_version"] == 3
    assert update_for(3) is update_for(3)
    for version in (0, 2):
        assert update_for(version)["base_version"] == 0
        assert update_for(version) is update_for(0)
    assert (
        patch.cached_update_builder(snapshot.EMPTY, edited[1])(0)[
            "base_version"
        ]
        == 0
    )


def test_a_patch_for_another_base_asks_for_the_whole(edited):
    before, after = edited
    update = patch.build_update(before, after)
    for version in (2, 0):
        current = snapshot.build(version, before.document)
        assert patch.apply_update(current, update).error == patch.BASE_MISMATCH


def test_a_new_order_goes_as_the_whole(edited):
    before, after = edited
    turned = dict(after.document, plans=after.document["plans"][::-1])
    update = patch.build_update(before, snapshot.build(9, turned))
    assert update["base_version"] == 0
    assert patch.apply_update(before, update).ok.document == turned


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
def test_a_document_with_findings_is_malformed(edited, content, base_version):
    before, _ = edited
    update = patch.build_update(None, snapshot.build(9, before.document))
    update["body"] = zlib.compress(content)
    update["base_version"] = base_version
    assert patch.apply_update(before, update).error == patch.MALFORMED


def test_a_body_that_inflates_without_bound_is_malformed(edited):
    before, _ = edited
    update = patch.build_update(None, snapshot.build(9, before.document))
    update["body"] = zlib.compress(b" " * (patch.MAX_DECOMPRESSED_BYTES + 1))
    assert patch.apply_update(before, update).error == patch.MALFORMED
