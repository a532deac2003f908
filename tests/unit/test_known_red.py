import pytest

from tests import known_red

LINE = "tests/unit/test_known_red.py::test_a | pytest | failed | 4\n"


def test_entries_are_parsed():
    (entry,) = known_red.parse("# comment\n\n" + LINE)
    assert entry.test.endswith("::test_a")
    assert entry.issue == "4"


@pytest.mark.parametrize("line", ["a::b | c | d", "a::b | c | | 4"])
def test_a_line_with_a_missing_field_is_an_error(line):
    with pytest.raises(ValueError, match="SEEN"):
        known_red.parse(line)


def test_an_entry_names_a_test_and_its_parameters():
    (entry,) = known_red.parse(LINE)
    assert known_red.names(entry, entry.test)
    assert known_red.names(entry, entry.test + "[1]")
    assert not known_red.names(entry, entry.test + "b")


def test_an_entry_without_its_test_is_seen():
    (entry,) = known_red.parse(LINE)
    assert not known_red.exists(entry)
    name = "test_an_entry_without_its_test_is_seen"
    assert known_red.exists(
        entry._replace(test=f"tests/unit/test_known_red.py::{name}")
    )


def test_every_entry_of_the_list_names_a_test():
    assert all(known_red.exists(entry) for entry in known_red.read())
