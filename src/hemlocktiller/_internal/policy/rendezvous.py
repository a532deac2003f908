"""Chooses linked processes and holders of duties, by rendezvous hashing.

An entry links to the agents of each group (model and data centre) that score
highest with it, and each agent is linked by the entries that score highest
with it. Both ends compute the same links, and a process that joins or leaves
changes only its own links. Gateways choose in the same way which of them have
a duty, such as polling a target.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import heapq

import xxhash

AGENTS_OF_ENTRY = 4
ENTRIES_OF_AGENT = 3


def score(entry: str, agent: str) -> int:
    """Returns the rendezvous hash of a pair; the highest ones are linked."""
    return xxhash.xxh64_intdigest(f"{entry}\0{agent}".encode())


def linked_agents(
    entry: str,
    entries: Iterable[str],
    groups: Mapping[object, Iterable[str]],
    agents_of_entry: int = AGENTS_OF_ENTRY,
    entries_of_agent: int = ENTRIES_OF_AGENT,
) -> set[str]:
    """Returns the agents that an entry links to.

    Args:
        entry: Name of the entry.
        entries: Names of all entries that may link to these agents.
        groups: Agents by group; agents are chosen in each group separately.
        agents_of_entry: Minimum number of agents of each group that an entry
            links to.
        entries_of_agent: Minimum number of entries that link to each agent.
    """
    peers = sorted({*entries, entry})
    linked = set()
    for group_agents in groups.values():
        members = set(group_agents)
        linked |= _highest_scored(entry, members, agents_of_entry)
        linked |= {
            agent
            for agent in members - linked
            if entry
            in _highest_scored(
                agent, peers, entries_of_agent, name_is_agent=True
            )
        }
    return linked


def is_chosen(name: str, others: Iterable[str], duty: str, count: int) -> bool:
    """Returns whether a process is one of those chosen for a duty.

    Args:
        name: Name of the process.
        others: Names of the other processes that it knows.
        duty: Name of the duty.
        count: Number of processes to choose.
    """
    return name in _highest_scored(
        duty, {*others, name}, count, name_is_agent=True
    )


def rank(name: str, others: Iterable[str], duty: str) -> int:
    """Returns the place of a process, from 0, in the order for a duty.

    Args:
        name: Name of the process.
        others: Names of the other processes that it knows.
        duty: Name of the duty.
    """
    own_score = score(name, duty), name
    return sum(
        (score(other, duty), other) > own_score
        for other in set(others) - {name}
    )


def _highest_scored(
    name: str, others: Iterable[str], count: int, name_is_agent: bool = False
) -> set[str]:
    """Returns the processes that score highest with a given one.

    Args:
        name: Name of the given process, or a duty.
        others: Names of the processes to choose from.
        count: Number of processes to choose.
        name_is_agent: Whether the name is the agent of the scored pairs, and
            not the entry.
    """

    def sort_key(other: str) -> tuple[int, str]:
        pair = (other, name) if name_is_agent else (name, other)
        return score(*pair), other

    return set(heapq.nlargest(count, others, key=sort_key))
