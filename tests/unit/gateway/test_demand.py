"""Demand that gateways tell each other by class, and its bad inputs."""

import math

import pytest

from hemlocktiller._internal.gateway import demand
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.policy import admission_level
from tests.unit.gateway import test_peers
from tests.unit.gateway.test_peers import gateway  # noqa: F401

NOW_S = 100.0


@pytest.fixture
def lines(monkeypatch):
    """The kinds of the log lines that were written."""
    kinds = []
    monkeypatch.setattr(
        events, "emit", lambda kind, **fields: kinds.append(kind)
    )
    return kinds


@pytest.fixture
def board():
    """The sums of one of three gateways."""
    made = demand.DemandBoard()
    made.services = frozenset(["model"])
    made.count_gateways = lambda: 3
    return made


def make_row(**fields):
    return {
        "service": "model",
        "rank": 0,
        "arrivals": 50,
        "starts": 40,
        "waiting": 3,
        "due": [0, 2, 0, 0, 0, 0],
        "used_tokens": {"w": 1000},
        **fields,
    }


def test_the_demand_of_all_gateways_is_added_up(board):
    board.apply_peer("g1", [make_row()], NOW_S)
    board.apply_peer("g2", [make_row()], NOW_S)
    board.record_arrival("model", 0, False, NOW_S)
    total = board.demand("model", NOW_S)[0]
    assert total.waiting == 6.0
    assert total.starts_per_s == pytest.approx(8.0)
    assert board.used_tokens("model", 0, NOW_S)["w"] == 2000.0


def test_returns_that_are_due_come_nearer_with_the_age(board):
    board.apply_peer("g1", [make_row()], NOW_S)
    due = board.demand("model", NOW_S + 1.0)[0].due
    assert due == (2.0, 0.0, 0.0, 0.0, 0.0, 0.0)


@pytest.mark.parametrize(
    "bad",
    [
        {"rank": -1},
        {"rank": demand.MAX_RANK + 1},
        {"rank": "0"},
        {"rank": True},
        {"rank": 0.5},
        {"arrivals": math.nan},
        {"starts": -1},
        {"waiting": 10**6},
        {"waiting": 400},
        {"due": [1]},
        {"due": 1},
        {"used_tokens": {str(one): 1 for one in range(5)}},
        {"service": None},
    ],
)
def test_a_bad_row_is_left_out_with_one_line(board, lines, bad):
    for _ in range(3):
        board.apply_peer("g1", [make_row(**bad), make_row(rank=1)], NOW_S)
    assert set(board.demand("model", NOW_S)) == {1}
    assert lines.count("bad_demand") == 1


def test_rates_far_above_those_of_others_are_left_out(board, lines):
    board.apply_peer("g1", [make_row()], NOW_S)
    board.apply_peer("g2", [make_row(arrivals=90_000, starts=0)], NOW_S)
    assert board.demand("model", NOW_S)[0].waiting == 3.0
    assert lines == ["bad_demand"]


@pytest.mark.parametrize("told", [5, "rows", {"rank": 1}])
def test_what_is_no_list_of_rows_is_left_out(board, lines, told):
    board.apply_peer("g1", told, NOW_S)
    assert board.demand("model", NOW_S) == {}
    assert lines == ["bad_demand"]


def test_old_sums_leave_what_a_gateway_sees_itself(board, lines):
    for peer in ("g1", "g2"):
        board.apply_peer(peer, [make_row()], NOW_S)
    board.record_arrival("model", 0, False, NOW_S)
    board.set_waiting("model", {0: 1})
    assert board.demand("model", NOW_S)[0].waiting == 7.0
    later_s = NOW_S + 1.1 * (
        board.report_interval_s() * demand.SUMS_TTL_INTERVALS
    )
    for _ in range(3):
        assert board.demand("model", later_s)[0].waiting == 1.0
        later_s += 1.0
    assert lines == ["demand_view"]


def test_what_is_told_is_bounded(board):
    for rank in range(demand.MAX_RANK + 1):
        for number in range(100):
            board.record_start(("model", rank), f"w{number}", 5.0, NOW_S)
    for service in range(30):
        board.services |= {f"s{service}"}
        board.record_arrival(f"s{service}", 0, False, NOW_S)
        board.record_arrival(f"s{service}", 1, False, NOW_S)
    rows = board.rows(NOW_S)
    assert len(rows) == demand.MAX_ROWS
    assert all(
        len(row["used_tokens"]) <= demand.TOLD_WORKSPACES for row in rows
    )


def test_demand_is_told_only_where_classes_compete(gateway):  # noqa: F811
    link = gateway.open_link("g1")
    assert "demand" not in link.sent[-1]
    gateway.demand.services = frozenset(["model"])
    gateway.demand.record_arrival("model", 1, False, 0.0)
    link = gateway.open_link("g2")
    assert [row["rank"] for row in link.sent[-1]["demand"]] == [1]


def test_bad_demand_costs_no_other_part_of_a_message(gateway):  # noqa: F811
    link = gateway.open_link("g1")
    message = test_peers.make_occupancy_message(("a", 10, 2))
    gateway.peers._on_message(link, {**message, "demand": [{"rank": -1}]})
    assert gateway.occupancy.load("a", 0.0).sequences == 2


@pytest.mark.parametrize(
    ("time_left_s", "has_waited"),
    [(20.0, False), (19.9, False), (15.0, True), (5.0, False), (None, False)],
)
def test_callers_that_waited_have_less_time_left(
    board, time_left_s, has_waited
):
    board.record_time_left("route", 20.0)
    assert board.record_time_left("route", time_left_s) is has_waited


def test_a_refused_return_is_a_fault_that_delays_the_next(board):
    board.record_return_outcome("model", 1, True)
    refused_ratio = board.own("model", 1).fault_ratio
    assert refused_ratio > 0.0
    board.record_return_outcome("model", 1, False)
    assert board.own("model", 1).fault_ratio < refused_ratio


def test_classes_of_requests_are_counted(board):
    board.record_start(("model", 0), "w", 5.0, NOW_S)
    assert board.demand("model", NOW_S)[0].starts_per_s > 0.0
    assert (
        board.demand("model", NOW_S)[0].due
        == (0.0,) * admission_level.RETURN_HORIZON_S
    )
