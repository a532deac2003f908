"""Which agents an entry links to, by rendezvous hashing.

An entry links to its best agents of each group (model and data centre),
and each agent has its best entries link to it. Both ends compute the same
answer, and a join or leave moves only the links of the one concerned.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import heapq

import xxhash

AGENTS_OF_ENTRY = 4
ENTRIES_OF_AGENT = 3


def score(entry: str, agent: str) -> int:
    """Returns the weight of a pair; the highest ones are linked."""
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
        groups: Agents by group; each group is chosen from by itself.
        agents_of_entry: Agents of each group that an entry links to.
        entries_of_agent: Entries that link to each agent at least.
    """
    peers = sorted({*entries, entry})
    linked = set()
    for agents in groups.values():
        members = set(agents)
        linked |= _best(entry, members, agents_of_entry)
        linked |= {
            agent
            for agent in members - linked
            if entry in _best(agent, peers, entries_of_agent, swapped=True)
        }
    return linked


def is_chosen(name: str, others: Iterable[str], duty: str, count: int) -> bool:
    """Returns whether a process is one of those that share a duty.

    Args:
        name: Name of the process.
        others: Names of the others that it knows.
        duty: Name of the duty.
        count: Processes that share it.
    """
    return name in _best(duty, {*others, name}, count, swapped=True)


def _best(
    name: str, others: Iterable[str], count: int, swapped: bool = False
) -> set[str]:
    """Returns the others that score highest with a name."""

    def weight(other: str) -> tuple[int, str]:
        pair = (other, name) if swapped else (name, other)
        return score(*pair), other

    return set(heapq.nlargest(count, others, key=weight))
