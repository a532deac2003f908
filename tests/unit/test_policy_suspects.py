import random

import pytest

from hemlocktiller._internal.policy import suspects

SETTINGS = {"suspect_ttl_s": 600.0}
POISON = 1
BYSTANDERS = list(range(2, 18))


@pytest.fixture
def known():
    return suspects.Suspects(SETTINGS)


def make_peer():
    return suspects.Suspects(SETTINGS)


def kill(known, target, digests, now_s, time_s=0.1):
    known.record_death(target, dict.fromkeys(digests, time_s), now_s)


def test_the_second_target_condemns(known):
    kill(known, "a", [POISON], 0.0)
    assert known.state(POISON, 1.0) == "suspect"
    kill(known, "b", [POISON], 10.0)
    assert known.state(POISON, 10.1) == "undecided"
    assert known.state(POISON, 10.5) == "condemned"
    assert known.state(POISON, 611.0) == "clear"
    assert len(known) == 0


def test_the_same_target_twice_is_one_target(known):
    kill(known, "a", [POISON], 0.0)
    kill(known, "a", [POISON], 10.0)
    assert known.state(POISON, 20.0) == "suspect"


def test_a_newcomer_beside_a_suspect_is_no_suspect(known):
    kill(known, "a", [POISON], 0.0)
    kill(known, "b", [POISON, *BYSTANDERS], 10.0)
    assert known.state(POISON, 20.0) == "condemned"
    assert {known.state(one, 20.0) for one in BYSTANDERS} == {"clear"}


def test_bystanders_on_both_targets_are_not_condemned(known):
    kill(known, "a", [POISON, 2], 0.0)
    kill(known, "b", [POISON, 2], 10.0)
    assert known.state(POISON, 11.0) == known.state(2, 11.0) == "suspect"
    assert not known.may_run_beside(2, {POISON: 100.0}, 11.0)
    kill(known, "c", [POISON, 3], 20.0)
    assert known.state(POISON, 21.0) == "condemned"
    assert known.state(2, 21.0) == "suspect"


def test_a_death_names_the_only_suspect_on_probation(known):
    kill(known, "a", [POISON, 2, 3], 0.0)
    running_s = {2: 1.1, 3: 1.04}
    assert known.may_run_beside(POISON, running_s, 1.2)
    known.record_death("b", {**running_s, POISON: 0.05}, 1.3)
    assert known.state(POISON, 2.0) == "condemned"
    assert known.state(2, 2.0) == known.state(3, 2.0) == "suspect"


def test_a_suspect_that_ran_for_long_is_not_named_by_a_death(known):
    kill(known, "a", [POISON, 2], 0.0)
    kill(known, "b", [2], 10.0, time_s=5.0)
    assert known.state(2, 20.0) == "suspect"
    kill(known, "c", [2], 20.0, time_s=5.0)
    assert known.state(2, 30.0) == "condemned"


def test_suspects_run_apart_until_one_has_run_for_a_while(known):
    kill(known, "a", [POISON, 2], 0.0)
    assert not known.may_run_beside(POISON, {2: 0.1}, 1.0)
    assert known.may_run_beside(POISON, {2: 2.0}, 1.0)
    assert known.may_run_beside(POISON, {9: 0.1}, 1.0)
    assert known.may_run_beside(9, {POISON: 0.1}, 1.0)


def test_a_full_answer_clears(known):
    kill(known, "a", [POISON, 2], 0.0)
    evidence = known.export(0.0)
    known.record_success(2, 1.0)
    assert known.state(2, 1.0) == "clear"
    known.merge(evidence, 2.0)
    assert known.state(2, 2.0) == "clear"
    kill(known, "b", [2], 10.0)
    assert known.state(2, 20.0) == "suspect"


@pytest.mark.parametrize("seed", range(20))
def test_the_loss_of_many_targets_condemns_nobody(known, seed):
    rng = random.Random(seed)
    digests = list(range(300))
    for number in range(15):
        now_s = 0.05 * number
        kill(known, f"t{number}", rng.sample(digests, 16), now_s)
        assert not any(
            known.state(one, now_s) == "condemned" for one in digests
        )
    assert {known.state(one, 10.0) for one in digests} <= {"clear", "suspect"}


def test_a_poison_among_mass_deaths_is_condemned_later(known):
    for number in range(5):
        kill(known, f"t{number}", [POISON if number == 4 else 50], 0.0)
    assert known.state(POISON, 1.0) == "clear"
    kill(known, "x", [POISON], 10.0)
    kill(known, "y", [POISON], 20.0)
    assert known.state(POISON, 21.0) == "condemned"


def test_a_peer_that_was_told_condemns_as_well(known):
    peer = make_peer()
    kill(known, "a", [POISON], 0.0)
    assert peer.merge(known.export(0.0), 0.0)
    assert peer.merge(known.export(0.0), 0.0) == []
    kill(peer, "b", [POISON], 10.0)
    known.merge(peer.export(10.0), 10.0)
    assert known.state(POISON, 11.0) == "condemned"
    late = make_peer()
    late.merge(known.export(500.0), 0.0)
    assert late.state(POISON, 100.0) == "condemned"
    assert late.state(POISON, 111.0) == "clear"


def test_the_number_of_suspects_is_bounded():
    known = suspects.Suspects(SETTINGS, max_records=100)
    for number in range(1000):
        kill(known, f"t{number}", [number], 10.0 * number)
    assert len(known) <= 100


def test_the_digest_tells_workspaces_apart():
    assert suspects.digest("a", b"x") == suspects.digest("a", b"x")
    assert suspects.digest("a", b"x") != suspects.digest("b", b"x")
    assert suspects.digest("a", b"x") != suspects.digest("a\0", b"x")


@pytest.mark.parametrize("seed", range(20))
def test_one_poison_among_bystanders_is_named(seed):
    """Reruns 16 suspects on 9 targets; each entry knows half of them."""
    rng = random.Random(seed)
    entries = [make_peer(), make_peer()]
    flight = [[POISON, *BYSTANDERS[:7]], BYSTANDERS[7:15]]
    door = make_peer()
    for entry, digests in zip(entries, flight, strict=True):
        kill(entry, "t0", digests, 0.0)
        door.merge(entry.export(0.0), 0.0)
    waiting = [
        (one, entry)
        for entry, digests in zip(entries, flight, strict=True)
        for one in digests
    ]
    rng.shuffle(waiting)
    running = {f"t{number}": {} for number in range(1, 10)}
    dead = ["t0"]
    now_s = 1.0
    while waiting:
        digest, entry = waiting.pop(0)
        state = entry.state(digest, now_s)
        if state == "condemned":
            continue
        target = rng.choice(sorted(running))
        blocked = not door.may_run_beside(digest, running[target], now_s)
        if blocked or state == "undecided":
            waiting.append((digest, entry))
            now_s += 0.3
            for digests in running.values():
                digests.update({one: digests[one] + 0.3 for one in digests})
            continue
        running[target][digest] = 0.0
        if digest != POISON:
            continue
        lost = running.pop(target)
        dead.append(target)
        for each, digests in zip(entries, flight, strict=True):
            mine = {one: lost[one] for one in lost if one in digests}
            each.record_death(target, mine, now_s)
            waiting += [(one, each) for one in mine]
            door.merge(each.export(now_s), now_s)
    for entry in entries:
        assert all(
            entry.state(one, now_s) != "condemned" for one in BYSTANDERS
        )
    assert entries[0].state(POISON, now_s) == "condemned"
    assert len(dead) <= 3
