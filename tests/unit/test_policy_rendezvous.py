"""Tests of the choice of the agents that each entry links to."""

import collections

import pytest

from hemlocktiller._internal.policy import rendezvous

DATA_CENTRES = 20
ENTRIES = [f"e{number}" for number in range(420)]


def make_groups(count=2800, models=19):
    groups = collections.defaultdict(list)
    for number in range(count):
        data_centre = number % DATA_CENTRES
        model = number // DATA_CENTRES % models
        groups[data_centre, model].append(f"a{number}")
    return groups


def groups_in_data_centre(groups, data_centre):
    return {
        key: agents for key, agents in groups.items() if key[0] == data_centre
    }


@pytest.fixture(scope="module")
def agents_by_entry():
    groups = make_groups()
    linked_by_entry = {}
    for number, entry in enumerate(ENTRIES):
        data_centre = number % DATA_CENTRES
        entries = ENTRIES[data_centre::DATA_CENTRES]
        local_groups = groups_in_data_centre(groups, data_centre)
        linked_by_entry[entry] = rendezvous.linked_agents(
            entry, entries, local_groups
        )
    return linked_by_entry


def test_each_entry_is_linked_to_enough_agents_of_each_group(agents_by_entry):
    groups = make_groups()
    for number, entry in enumerate(ENTRIES):
        for agents in groups_in_data_centre(
            groups, number % DATA_CENTRES
        ).values():
            linked = len(agents_by_entry[entry] & set(agents))
            assert linked >= rendezvous.AGENTS_OF_ENTRY


def test_links_are_balanced_over_agents_and_entries(agents_by_entry):
    links_per_agent = collections.Counter()
    for linked in agents_by_entry.values():
        links_per_agent.update(linked)
    assert len(links_per_agent) == 2800
    mean = sum(links_per_agent.values()) / 2800
    assert min(links_per_agent.values()) >= rendezvous.ENTRIES_OF_AGENT
    assert max(links_per_agent.values()) <= 2 * mean
    links_per_entry = [len(linked) for linked in agents_by_entry.values()]
    assert max(links_per_entry) <= 1.3 * sum(links_per_entry) / len(
        links_per_entry
    )


def test_removed_agent_changes_only_its_own_links():
    groups = groups_in_data_centre(make_groups(), 0)
    entries = ENTRIES[:21]
    linked_before = rendezvous.linked_agents("e0", entries, groups)
    removed_agent = sorted(linked_before)[0]
    remaining_groups = {
        key: [agent for agent in agents if agent != removed_agent]
        for key, agents in groups.items()
    }
    linked_after = rendezvous.linked_agents("e0", entries, remaining_groups)
    assert linked_before - linked_after == {removed_agent}
    assert len(linked_after - linked_before) <= 1


def test_new_entry_removes_few_links_of_the_others():
    groups = groups_in_data_centre(make_groups(), 0)
    entries = ENTRIES[:21]
    linked_before = rendezvous.linked_agents("e0", entries, groups)
    linked_after = rendezvous.linked_agents("e0", [*entries, "new"], groups)
    assert linked_after <= linked_before
    assert len(linked_before - linked_after) <= len(linked_before) // 10


def test_all_agents_of_a_small_group_are_linked():
    assert rendezvous.linked_agents("e", ["e"], {"m": ["a", "b"]}) == {
        "a",
        "b",
    }
    assert rendezvous.linked_agents("e", [], {}) == set()
