"""The documentation agrees with the programs."""

import inspect
from pathlib import Path
import re

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.cli import operator
from hemlocktiller._internal.cli.subcommands import exit_codes
from schema import settings_doc

ROOT = Path(__file__).parents[2]
LINK = re.compile(r"\]\(([^)#:]+)\)")
METRIC_ROW = re.compile(r"^\| `(\w+)` \|", re.MULTILINE)
LINKED_PAGES = ("SECURITY.md", "CONTRIBUTING.md", "docs/OPERATORS.md")


def _read_page(name):
    return (ROOT / name).read_text()


def test_every_exit_code_is_documented_with_its_description():
    page = _read_page("docs/OPERATORS.md")
    for code, meaning in exit_codes.MEANINGS.items():
        assert f"| {code.value} | {meaning} |" in page


def test_every_subcommand_is_documented():
    page = _read_page("docs/OPERATORS.md")
    for command in operator.RUNNERS:
        assert f"hemlocktiller {command.__name__.lower()}" in page


def test_every_error_of_a_request_is_documented():
    page = _read_page("docs/CALLERS.md")
    errors = [
        error_class
        for _, error_class in inspect.getmembers(exceptions, inspect.isclass)
        if issubclass(error_class, exceptions.RequestError)
    ]
    expected_rows = {
        f"| `{error_class.code}` | {error_class.http_status} |"
        for error_class in errors
    }
    assert {row for row in expected_rows if row not in page} == set()


def test_the_settings_page_is_up_to_date():
    assert settings_doc.main(["--check"]) == 0


def test_metrics_recommended_to_operators_exist():
    page = _read_page("docs/OPERATORS.md")
    metrics_page = _read_page("docs/METRICS.md")
    metric_names = METRIC_ROW.findall(page.partition("## What to watch")[2])
    assert len(metric_names) > 10
    for metric in metric_names:
        assert f"| `hemlocktiller_{metric}` |" in metrics_page, metric


def test_links_between_pages_resolve():
    for name in LINKED_PAGES:
        page = ROOT / name
        for target in LINK.findall(page.read_text()):
            assert (page.parent / target).exists(), (name, target)
