"""The pages that users read agree with the programs."""

import inspect
from pathlib import Path
import re

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.cli import operator
from hemlocktiller._internal.cli.subcommands import exit_codes
from schema import settings_doc

ROOT = Path(__file__).parents[2]
LINK = re.compile(r"\]\(([^)#:]+)\)")
WATCHED = re.compile(r"^\| `(\w+)` \|", re.MULTILINE)
PAGES = ("SECURITY.md", "CONTRIBUTING.md", "docs/OPERATORS.md")


def _page(name):
    return (ROOT / name).read_text()


def test_every_exit_code_is_documented_with_its_meaning():
    page = _page("docs/OPERATORS.md")
    for code, meaning in exit_codes.MEANINGS.items():
        assert f"| {code.value} | {meaning} |" in page


def test_every_subcommand_is_documented():
    page = _page("docs/OPERATORS.md")
    for command in operator.RUNNERS:
        assert f"hemlocktiller {command.__name__.lower()}" in page


def test_every_error_of_a_request_is_documented():
    page = _page("docs/CALLERS.md")
    errors = [
        item
        for _, item in inspect.getmembers(exceptions, inspect.isclass)
        if issubclass(item, exceptions.RequestError)
    ]
    rows = {f"| `{item.code}` | {item.http_status} |" for item in errors}
    assert {row for row in rows if row not in page} == set()


def test_the_settings_page_is_up_to_date():
    assert settings_doc.main(["--check"]) == 0


def test_the_metrics_to_watch_exist():
    page = _page("docs/OPERATORS.md")
    listed = _page("docs/METRICS.md")
    watched = WATCHED.findall(page.partition("## What to watch")[2])
    assert len(watched) > 10
    for name in watched:
        assert f"| `hemlocktiller_{name}` |" in listed, name


def test_links_between_pages_lead_somewhere():
    for name in PAGES:
        page = ROOT / name
        for target in LINK.findall(page.read_text()):
            assert (page.parent / target).exists(), (name, target)
