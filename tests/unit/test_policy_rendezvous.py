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


def near(groups, data_centre):
    return {key: one for key, one in groups.items() if key[0] == data_centre}


@pytest.fixture(scope="module")
def links():
    groups = make_groups()
    found = {}
    for number, entry in enumerate(ENTRIES):
        data_centre = number % DATA_CENTRES
        entries = ENTRIES[data_centre::DATA_CENTRES]
        own = near(groups, data_centre)
        found[entry] = rendezvous.linked_agents(entry, entries, own)
    return found


def test_each_entry_links_enough_agents_of_each_group(links):
    groups = make_groups()
    for number, entry in enumerate(ENTRIES):
        for agents in near(groups, number % DATA_CENTRES).values():
            linked = len(links[entry] & set(agents))
            assert linked >= rendezvous.AGENTS_OF_ENTRY


def test_links_are_balanced_over_agents_and_entries(links):
    of_agent = collections.Counter()
    for linked in links.values():
        of_agent.update(linked)
    assert len(of_agent) == 2800
    mean = sum(of_agent.values()) / 2800
    assert min(of_agent.values()) >= rendezvous.ENTRIES_OF_AGENT
    assert max(of_agent.values()) <= 2 * mean
    of_entry = [len(linked) for linked in links.values()]
    assert max(of_entry) <= 1.3 * sum(of_entry) / len(of_entry)


def test_a_leave_moves_only_the_links_of_the_one_that_left():
    groups = near(make_groups(), 0)
    entries = ENTRIES[:21]
    before = rendezvous.linked_agents("e0", entries, groups)
    gone = sorted(before)[0]
    fewer = {
        key: [agent for agent in agents if agent != gone]
        for key, agents in groups.items()
    }
    after = rendezvous.linked_agents("e0", entries, fewer)
    assert before - after == {gone}
    assert len(after - before) <= 1


def test_a_new_entry_takes_few_links_from_the_others():
    groups = near(make_groups(), 0)
    entries = ENTRIES[:21]
    before = rendezvous.linked_agents("e0", entries, groups)
    after = rendezvous.linked_agents("e0", [*entries, "new"], groups)
    assert after <= before
    assert len(before - after) <= len(before) // 10


def test_small_groups_are_linked_whole():
    assert rendezvous.linked_agents("e", ["e"], {"m": ["a", "b"]}) == {
        "a",
        "b",
    }
    assert rendezvous.linked_agents("e", [], {}) == set()
