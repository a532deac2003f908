"""Whatever is read, the answer is a value or findings."""

import copy
import json

from hypothesis import given
from hypothesis import strategies
import pytest

from hemlocktiller._internal import documents
from hemlocktiller._internal import findings
from hemlocktiller._internal.config import check
from tests.unit.config.conftest import DOCUMENT

SCHEMAS = ("agent_settings", "config", "entry_settings", "operator_settings")
KEYS = ("plans", "allowances", "workspaces", "plan", "share", "limits", "x")

scalars = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.sampled_from(["gold", "draft"])
)
values = strategies.recursive(
    scalars,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.sampled_from(KEYS), inner)
    ),
    max_leaves=12,
)


def _places(value, path=()):
    """Yields the path of every value within a document."""
    yield path
    pairs = value.items() if isinstance(value, dict) else ()
    if isinstance(value, list):
        pairs = enumerate(value)
    for step, item in pairs:
        yield from _places(item, (*path, step))


def _replaced(document, path, value):
    """Returns a copy of a document with one value replaced."""
    if not path:
        return value
    changed = copy.deepcopy(document)
    parent = changed
    for step in path[:-1]:
        parent = parent[step]
    parent[path[-1]] = value
    return changed


@given(strategies.text() | values.map(json.dumps))
def test_any_text_is_parsed_or_refused(text):
    parsed = documents.parse(text)
    assert parsed.is_ok() or parsed.error


@given(values)
@pytest.mark.parametrize("name", SCHEMAS)
def test_any_value_is_checked_against_each_schema(name, value):
    schema = documents.read_schema(name)
    found = findings.schema_findings(value, schema)
    assert found or documents.with_defaults(value, schema)
    assert all(findings.format_finding(finding) for finding in found)


@given(strategies.sampled_from(list(_places(DOCUMENT))), values)
def test_any_edit_of_a_configuration_is_accepted_or_refused(path, value):
    edited = _replaced(DOCUMENT, path, value)
    accepted = check.build_snapshot(1, edited)
    assert accepted.is_error() == bool(check.check(edited))
    if accepted.is_ok():
        assert accepted.ok.document == edited
