import hypothesis
from hypothesis import strategies
import pytest

from hemlocktiller._internal.policy import fair_queue

SHARES = {"gold": 0.6, "silver": 0.3, "free": 0.1}
LIMITS = {
    "running": 8,
    "queued": 40,
    "reserved_short": 2,
    "reserved_long": 2,
    "short_cost_tokens": 100,
}


def make_item(request, plan="gold", workspace="w", cost=10.0, **fields):
    values = {"worth": 1.0, "deadline_s": 100.0, **fields}
    return fair_queue.QueuedRequest(request, plan, workspace, cost, **values)


@pytest.fixture
def queue():
    return fair_queue.FairQueue(LIMITS, SHARES)


def unbounded(shares=SHARES):
    limits = {**LIMITS, "queued": 100_000}
    return fair_queue.FairQueue(limits, shares)


def serve(queue, count):
    return [queue.pop(0.0, 0, 0) for _ in range(count)]


def test_backlogged_plans_are_served_by_their_shares():
    queue = unbounded()
    for plan in SHARES:
        for number in range(1000):
            queue.push(make_item(f"{plan}-{number}", plan))
    served = [item.plan for item in serve(queue, 1000)]
    for plan, share in SHARES.items():
        assert served.count(plan) == pytest.approx(1000 * share, abs=2)


def test_workspaces_of_a_plan_are_served_alike():
    queue = unbounded()
    for number in range(1000):
        queue.push(make_item(f"large-{number}", workspace="large"))
    for number in range(100):
        queue.push(make_item(f"small-{number}", workspace="small"))
    served = [item.workspace for item in serve(queue, 200)]
    assert served.count("small") == pytest.approx(100, abs=1)


def test_an_idle_plan_neither_saves_nor_owes_service():
    queue = unbounded({"gold": 0.5, "silver": 0.5})
    for number in range(2000):
        queue.push(make_item(f"gold-{number}"))
    assert len([item for item in serve(queue, 1000) if item]) == 1000
    for number in range(500):
        queue.push(make_item(f"silver-{number}", "silver"))
    served = [item.plan for item in serve(queue, 200)]
    assert served.count("silver") == pytest.approx(100, abs=1)


def test_corrected_costs_are_what_is_shared():
    queue = unbounded({"gold": 0.5, "silver": 0.5})
    served = {"gold": 0.0, "silver": 0.0}
    actual = {"gold": 2.0, "silver": 10.0}
    for number in range(1000):
        queue.push(make_item(f"gold-{number}", "gold"))
        queue.push(make_item(f"silver-{number}", "silver"))
    for _ in range(600):
        item = queue.pop(0.0, 0, 0)
        served[item.plan] += actual[item.plan]
        queue.correct_cost(
            item.plan, item.workspace, item.cost_tokens, actual[item.plan]
        )
    assert served["gold"] == pytest.approx(served["silver"], rel=0.02)


def test_a_flood_does_not_displace_an_entitled_plan(queue):
    for number in range(4):
        assert queue.push(make_item(f"free-{number}", "free")).accepted
    for number in range(400):
        queue.push(make_item(f"flood-{number}", "silver"))
    assert all(f"free-{number}" in queue for number in range(4))
    pushed = queue.push(make_item("gold-1", "gold"))
    assert pushed.accepted
    assert pushed.displaced.plan == "silver"


def test_items_past_hope_expire_and_are_not_started(queue):
    queue.push(make_item("late", deadline_s=5.0, expected_run_s=2.0))
    assert queue.pop_expired(3.0) == []
    assert queue.pop(3.5, 0, 0) is None
    assert [item.request_id for item in queue.pop_expired(3.5)] == ["late"]
    assert len(queue) == 0


@pytest.mark.parametrize(("count", "first"), [(3, "long"), (4, "0")])
def test_an_urgent_item_goes_first_while_few_wait(queue, count, first):
    queue.push(make_item("long", cost=90.0, deadline_s=1.5))
    for number in range(count):
        queue.push(make_item(str(number)))
    assert queue.pop(0.0, 0, 0).request_id == first


def test_places_are_kept_for_each_lane(queue):
    queue.push(make_item("long", cost=500.0))
    queue.push(make_item("short", cost=50.0))
    assert queue.pop(0.0, 4, 4) is None
    assert queue.pop(0.0, 0, 6).request_id == "short"
    queue.push(make_item("short", cost=50.0))
    assert queue.pop(0.0, 6, 0).request_id == "long"


def test_a_lane_without_work_lends_its_places(queue):
    queue.push(make_item("long", cost=500.0))
    assert queue.pop(0.0, 0, 7).request_id == "long"


def test_a_backlog_counts_the_service_of_other_plans(queue):
    queue.push(make_item("gold", cost=30.0))
    queue.push(make_item("silver", "silver", cost=60.0))
    backlogs = queue.backlog_tokens_by_plan()
    assert backlogs["gold"] == pytest.approx(45.0)
    assert backlogs["silver"] == pytest.approx(90.0)


def test_a_wait_grows_with_the_work_ahead(queue):
    item = make_item("new")
    assert queue.estimate_wait_s(item, 10.0) == 0.0
    queue.push(make_item("first", cost=5.0))
    queue.push(make_item("other", "silver", cost=5.0))
    assert queue.estimate_wait_s(item, 10.0) == pytest.approx(0.75)


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["push", "pop", "remove"]),
            strategies.sampled_from(sorted(SHARES)),
            strategies.sampled_from("ab"),
            strategies.integers(1, 300),
        ),
        max_size=200,
    )
)
def test_no_item_is_lost_or_doubled(steps):
    queue = fair_queue.FairQueue({**LIMITS, "queued": 10}, SHARES)
    waiting = set()
    for number, (step, plan, workspace, cost) in enumerate(steps):
        if step == "push":
            item = make_item(str(number), plan, workspace, float(cost))
            pushed = queue.push(item)
            waiting.add(item.request_id)
            lost = pushed.displaced if pushed.accepted else item
            waiting.discard(lost.request_id if lost else None)
        elif step == "pop":
            item = queue.pop(0.0, 0, 0)
            assert (item is None) == (not waiting)
            waiting.discard(item.request_id if item else None)
        elif waiting:
            request = min(waiting)
            assert queue.remove(request).request_id == request
            waiting.remove(request)
        assert len(queue) == len(waiting) <= 10
        assert all(request in queue for request in waiting)


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(strategies.lists(strategies.sampled_from(sorted(SHARES))))
def test_a_plan_within_its_share_of_the_queue_is_never_displaced(plans):
    queue = fair_queue.FairQueue({**LIMITS, "queued": 10}, SHARES)
    counts = dict.fromkeys(SHARES, 0)
    for number, plan in enumerate(plans):
        pushed = queue.push(make_item(str(number), plan))
        counts[plan] += 1
        lost = plan if not pushed.accepted else None
        if pushed.displaced is not None:
            lost = pushed.displaced.plan
        if lost is not None:
            assert counts[lost] > SHARES[lost] * 10
            counts[lost] -= 1


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.booleans(), strategies.integers(1, 50)),
        max_size=400,
    )
)
def test_exactly_the_late_items_expire(steps):
    queue = unbounded()
    deadlines = {}
    for number, (keep, deadline_s) in enumerate(steps):
        request = str(number)
        queue.push(make_item(request, deadline_s=float(deadline_s)))
        deadlines[request] = deadline_s
        if not keep:
            queue.remove(request)
            del deadlines[request]
    assert queue.cost_tokens == pytest.approx(10.0 * len(deadlines))
    for now_s in (10, 30, 51):
        late = {one for one in deadlines if deadlines[one] < now_s}
        expired = {item.request_id for item in queue.pop_expired(float(now_s))}
        assert expired == late
        deadlines = {
            one: deadlines[one] for one in deadlines if one not in late
        }
    assert len(queue) == 0
