import pytest

from tests import known_red

LINE = "tests/unit/test_known_red.py::test_a | pytest | failed | 4\n"


def test_entries_are_parsed():
    (entry,) = known_red.parse_entries("# comment\n\n" + LINE)
    assert entry.test.endswith("::test_a")
    assert entry.issue == "4"


@pytest.mark.parametrize("line", ["a::b | c | d", "a::b | c | | 4"])
def test_a_line_with_a_missing_field_is_rejected(line):
    with pytest.raises(ValueError, match="SEEN"):
        known_red.parse_entries(line)


def test_an_entry_matches_a_test_and_its_parameters():
    (entry,) = known_red.parse_entries(LINE)
    assert known_red.matches(entry, entry.test)
    assert known_red.matches(entry, entry.test + "[1]")
    assert not known_red.matches(entry, entry.test + "b")


def test_an_entry_of_an_undefined_test_is_detected():
    (entry,) = known_red.parse_entries(LINE)
    assert not known_red.is_test_defined(entry)
    test_name = "test_an_entry_of_an_undefined_test_is_detected"
    assert known_red.is_test_defined(
        entry._replace(test=f"tests/unit/test_known_red.py::{test_name}")
    )


def test_every_listed_test_is_defined():
    assert all(
        known_red.is_test_defined(entry) for entry in known_red.read_entries()
    )
