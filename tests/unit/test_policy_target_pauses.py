"""Pauses that targets ask for, against a small model."""

import hypothesis
from hypothesis import strategies
import pytest

from hemlocktiller._internal.policy import target_pauses

MAX_LENGTH_S = target_pauses.MAX_PAUSE_S * (
    1 + target_pauses.MAX_EXTENSION_RATIO
)


@pytest.fixture
def pauses():
    """No pauses yet."""
    return target_pauses.TargetPauses()


def test_a_process_gets_nothing_until_its_pause_ends(pauses):
    pauses.record("a/1", 2.5, 10.0, 0.0)
    assert pauses.left_s("a/1", 10.0) == 2.5
    assert pauses.left_s("a/1", 12.4) > 0
    assert pauses.left_s("a/1", 12.5) == 0
    assert len(pauses) == 0


def test_a_restart_ends_a_pause(pauses):
    pauses.record("a/1", 5.0, 0.0, 0.0)
    assert pauses.left_s("a/2", 1.0) == 0


@pytest.mark.parametrize(
    "pause_s", [0.0, -1.0, float("nan"), float("inf"), -float("inf")]
)
def test_a_length_that_is_no_time_is_ignored(pauses, pause_s):
    pauses.record("a/1", pause_s, 0.0, 0.0)
    assert len(pauses) == 0


def test_a_long_pause_is_limited(pauses):
    pauses.record("a/1", 1e9, 0.0, 0.0)
    assert pauses.left_s("a/1", 0.0) == target_pauses.MAX_PAUSE_S


def test_a_later_answer_does_not_shorten_a_pause(pauses):
    pauses.record("a/1", 10.0, 0.0, 0.0)
    pauses.record("a/1", 1.0, 5.0, 0.0)
    assert pauses.left_s("a/1", 5.0) == 5.0


def test_processes_return_at_different_moments(pauses):
    ends_s = set()
    for number in range(11):
        pauses.record(f"a/{number}", 10.0, 0.0, number / 10)
        ends_s.add(pauses.left_s(f"a/{number}", 0.0))
    assert len(ends_s) == 11
    assert min(ends_s) == 10.0


def test_the_oldest_of_too_many_processes_is_forgotten(pauses):
    for number in range(target_pauses.MAX_PROCESSES + 1):
        pauses.record(f"a/{number}", 10.0, 0.0, 0.0)
    assert len(pauses) == target_pauses.MAX_PROCESSES
    assert pauses.left_s("a/0", 0.0) == 0


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["answer", "probe", "ask"]),
            strategies.sampled_from(["a/1", "a/2", "b/1"]),
            strategies.floats(0.0, 100.0),
            strategies.floats(0.0, 5.0),
            strategies.floats(0.0, 1.0),
        ),
        max_size=60,
    )
)
def test_no_process_gets_more_than_its_probes_in_a_pause(steps):
    pauses = target_pauses.TargetPauses()
    now_s = 0.0
    # End of the pause that each process asked for, and its probes since.
    asked_until_s: dict[str, float] = {}
    probes: dict[str, int] = {}
    for action, process_id, pause_s, passed_s, extension in steps:
        now_s += passed_s
        is_paused = asked_until_s.get(process_id, 0.0) > now_s
        if action == "answer":
            if not is_paused:
                probes[process_id] = 0
            pauses.record(process_id, pause_s, now_s, extension)
            end_s = now_s + min(pause_s, target_pauses.MAX_PAUSE_S)
            asked_until_s[process_id] = max(
                end_s, asked_until_s.get(process_id, 0.0)
            )
        elif action == "probe" and pauses.try_probe(process_id, now_s):
            if is_paused:
                probes[process_id] += 1
            assert probes.get(process_id, 0) <= target_pauses.PROBES_IN_PAUSE
        else:
            left_s = pauses.left_s(process_id, now_s)
            assert left_s <= MAX_LENGTH_S
            assert left_s > 0 or not is_paused
