"""Tests of the detection of requests that crash the targets they run on."""

import random

import pytest

from hemlocktiller._internal.policy import suspects

SETTINGS = {"suspect_ttl_s": 600.0}
CRASHING_DIGEST = 1
BYSTANDERS = list(range(2, 18))


@pytest.fixture
def tracker():
    return suspects.Suspects(SETTINGS)


def make_peer():
    return suspects.Suspects(SETTINGS)


def record_target_death(tracker, target, digests, now_s, time_s=0.1):
    tracker.record_death(target, dict.fromkeys(digests, time_s), now_s)


def test_death_of_a_second_target_condemns_a_request(tracker):
    record_target_death(tracker, "a", [CRASHING_DIGEST], 0.0)
    assert tracker.state(CRASHING_DIGEST, 1.0) == "suspect"
    record_target_death(tracker, "b", [CRASHING_DIGEST], 10.0)
    assert tracker.state(CRASHING_DIGEST, 10.1) == "undecided"
    assert tracker.state(CRASHING_DIGEST, 10.5) == "condemned"
    assert tracker.state(CRASHING_DIGEST, 611.0) == "clear"
    assert len(tracker) == 0


def test_second_death_of_the_same_target_does_not_condemn(tracker):
    record_target_death(tracker, "a", [CRASHING_DIGEST], 0.0)
    record_target_death(tracker, "a", [CRASHING_DIGEST], 10.0)
    assert tracker.state(CRASHING_DIGEST, 20.0) == "suspect"


def test_new_request_beside_a_suspect_is_not_suspected(tracker):
    record_target_death(tracker, "a", [CRASHING_DIGEST], 0.0)
    record_target_death(tracker, "b", [CRASHING_DIGEST, *BYSTANDERS], 10.0)
    assert tracker.state(CRASHING_DIGEST, 20.0) == "condemned"
    assert {tracker.state(one, 20.0) for one in BYSTANDERS} == {"clear"}


def test_bystanders_on_both_targets_are_not_condemned(tracker):
    record_target_death(tracker, "a", [CRASHING_DIGEST, 2], 0.0)
    record_target_death(tracker, "b", [CRASHING_DIGEST, 2], 10.0)
    assert (
        tracker.state(CRASHING_DIGEST, 11.0)
        == tracker.state(2, 11.0)
        == "suspect"
    )
    assert not tracker.may_run_beside(2, {CRASHING_DIGEST: 100.0}, 11.0)
    record_target_death(tracker, "c", [CRASHING_DIGEST, 3], 20.0)
    assert tracker.state(CRASHING_DIGEST, 21.0) == "condemned"
    assert tracker.state(2, 21.0) == "suspect"


def test_a_death_names_the_only_suspect_on_probation(tracker):
    record_target_death(tracker, "a", [CRASHING_DIGEST, 2, 3], 0.0)
    running_s = {2: 1.1, 3: 1.04}
    assert tracker.may_run_beside(CRASHING_DIGEST, running_s, 1.2)
    tracker.record_death("b", {**running_s, CRASHING_DIGEST: 0.05}, 1.3)
    assert tracker.state(CRASHING_DIGEST, 2.0) == "condemned"
    assert tracker.state(2, 2.0) == tracker.state(3, 2.0) == "suspect"


def test_suspect_that_ran_for_long_needs_another_death(tracker):
    record_target_death(tracker, "a", [CRASHING_DIGEST, 2], 0.0)
    record_target_death(tracker, "b", [2], 10.0, time_s=5.0)
    assert tracker.state(2, 20.0) == "suspect"
    record_target_death(tracker, "c", [2], 20.0, time_s=5.0)
    assert tracker.state(2, 30.0) == "condemned"


def test_suspects_run_on_separate_targets_until_one_ran_long_enough(tracker):
    record_target_death(tracker, "a", [CRASHING_DIGEST, 2], 0.0)
    assert not tracker.may_run_beside(CRASHING_DIGEST, {2: 0.1}, 1.0)
    assert tracker.may_run_beside(CRASHING_DIGEST, {2: 2.0}, 1.0)
    assert tracker.may_run_beside(CRASHING_DIGEST, {9: 0.1}, 1.0)
    assert tracker.may_run_beside(9, {CRASHING_DIGEST: 0.1}, 1.0)


def test_complete_answer_clears_a_suspect(tracker):
    record_target_death(tracker, "a", [CRASHING_DIGEST, 2], 0.0)
    evidence = tracker.export(0.0)
    tracker.record_response(2, 1.0)
    assert tracker.state(2, 1.0) == "clear"
    tracker.merge(evidence, 2.0)
    assert tracker.state(2, 2.0) == "clear"
    record_target_death(tracker, "b", [2], 10.0)
    assert tracker.state(2, 20.0) == "suspect"


@pytest.mark.parametrize("seed", range(20))
def test_loss_of_many_targets_condemns_no_request(tracker, seed):
    rng = random.Random(seed)
    digests = list(range(300))
    for number in range(15):
        now_s = 0.05 * number
        record_target_death(
            tracker, f"t{number}", rng.sample(digests, 16), now_s
        )
        assert not any(
            tracker.state(one, now_s) == "condemned" for one in digests
        )
    assert {tracker.state(one, 10.0) for one in digests} <= {
        "clear",
        "suspect",
    }


def test_crashing_request_is_condemned_after_a_mass_failure(tracker):
    for number in range(5):
        record_target_death(
            tracker,
            f"t{number}",
            [CRASHING_DIGEST if number == 4 else 50],
            0.0,
        )
    assert tracker.state(CRASHING_DIGEST, 1.0) == "clear"
    record_target_death(tracker, "x", [CRASHING_DIGEST], 10.0)
    record_target_death(tracker, "y", [CRASHING_DIGEST], 20.0)
    assert tracker.state(CRASHING_DIGEST, 21.0) == "condemned"


def test_evidence_merged_from_a_peer_condemns_a_request(tracker):
    peer = make_peer()
    record_target_death(tracker, "a", [CRASHING_DIGEST], 0.0)
    assert peer.merge(tracker.export(0.0), 0.0)
    assert peer.merge(tracker.export(0.0), 0.0) == []
    record_target_death(peer, "b", [CRASHING_DIGEST], 10.0)
    tracker.merge(peer.export(10.0), 10.0)
    assert tracker.state(CRASHING_DIGEST, 11.0) == "condemned"
    late_peer = make_peer()
    late_peer.merge(tracker.export(500.0), 0.0)
    assert late_peer.state(CRASHING_DIGEST, 100.0) == "condemned"
    assert late_peer.state(CRASHING_DIGEST, 111.0) == "clear"


def test_the_number_of_suspects_is_bounded():
    bounded_tracker = suspects.Suspects(SETTINGS, max_records=100)
    for number in range(1000):
        record_target_death(
            bounded_tracker, f"t{number}", [number], 10.0 * number
        )
    assert len(bounded_tracker) <= 100


def test_digests_of_workspaces_differ():
    assert suspects.digest("a", b"x") == suspects.digest("a", b"x")
    assert suspects.digest("a", b"x") != suspects.digest("b", b"x")
    assert suspects.digest("a", b"x") != suspects.digest("a\0", b"x")


@pytest.mark.parametrize("seed", range(20))
def test_only_the_crashing_request_is_condemned(seed):
    """Retries 16 suspects on 9 targets; each entry tracks half of them."""
    rng = random.Random(seed)
    entries = [make_peer(), make_peer()]
    digests_by_entry = [[CRASHING_DIGEST, *BYSTANDERS[:7]], BYSTANDERS[7:15]]
    agent_tracker = make_peer()
    for entry, digests in zip(entries, digests_by_entry, strict=True):
        record_target_death(entry, "t0", digests, 0.0)
        agent_tracker.merge(entry.export(0.0), 0.0)
    waiting = [
        (one, entry)
        for entry, digests in zip(entries, digests_by_entry, strict=True)
        for one in digests
    ]
    rng.shuffle(waiting)
    running = {f"t{number}": {} for number in range(1, 10)}
    dead_targets = ["t0"]
    now_s = 1.0
    while waiting:
        digest, entry = waiting.pop(0)
        state = entry.state(digest, now_s)
        if state == "condemned":
            continue
        target = rng.choice(sorted(running))
        blocked = not agent_tracker.may_run_beside(
            digest, running[target], now_s
        )
        if blocked or state == "undecided":
            waiting.append((digest, entry))
            now_s += 0.3
            for digests in running.values():
                digests.update({one: digests[one] + 0.3 for one in digests})
            continue
        running[target][digest] = 0.0
        if digest != CRASHING_DIGEST:
            continue
        running_at_death = running.pop(target)
        dead_targets.append(target)
        for owner, digests in zip(entries, digests_by_entry, strict=True):
            running_of_entry = {
                one: running_at_death[one]
                for one in running_at_death
                if one in digests
            }
            owner.record_death(target, running_of_entry, now_s)
            waiting += [(one, owner) for one in running_of_entry]
            agent_tracker.merge(owner.export(now_s), now_s)
    for entry in entries:
        assert all(
            entry.state(one, now_s) != "condemned" for one in BYSTANDERS
        )
    assert entries[0].state(CRASHING_DIGEST, now_s) == "condemned"
    assert len(dead_targets) <= 3


def test_the_death_of_a_target_that_answers_again_is_withdrawn(tracker):
    record_target_death(tracker, "a", [CRASHING_DIGEST], 0.0)
    record_target_death(tracker, "b", [CRASHING_DIGEST], 0.1)
    assert tracker.state(CRASHING_DIGEST, 1.0) == "condemned"
    reported = tracker.export(1.0)
    tracker.record_survival("a")
    assert tracker.state(CRASHING_DIGEST, 1.0) == "suspect"
    tracker.merge(reported, 1.0)
    assert tracker.state(CRASHING_DIGEST, 1.0) == "suspect"
    tracker.record_survival("b")
    assert tracker.state(CRASHING_DIGEST, 1.0) == "clear"
