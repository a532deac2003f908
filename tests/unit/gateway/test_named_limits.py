"""Targets that name the requests a second that they take."""

import pytest

from tests.unit.gateway.named_limit_fleet import allowed_requests
from tests.unit.gateway.named_limit_fleet import CONTACT_S
from tests.unit.gateway.named_limit_fleet import Fleet
from tests.unit.gateway.named_limit_fleet import most_in_window
from tests.unit.gateway.named_limit_fleet import plain_target
from tests.unit.gateway.named_limit_fleet import starts_calls
from tests.unit.gateway.named_limit_fleet import statuses


@pytest.mark.parametrize("limit_per_s", [0.3, 2.2, 12.0])
@pytest.mark.parametrize("gateways", [1, 5])
def test_a_target_gets_no_more_than_the_limit_that_it_names(
    plain_service, lookup_route, gateways, limit_per_s
):
    limited, free = plain_target("a"), plain_target("b")
    fleet = Fleet(gateways, limited, free)
    start = starts_calls(plain_service, lookup_route)
    fleet.play(2.0, start)
    fleet.limits_per_s[limited.port] = limit_per_s
    named_s = fleet.now_s
    fleet.play(15.0, start)
    times_s = fleet.arrival_times_s(limited.port)
    most = most_in_window(times_s, named_s + CONTACT_S)
    assert most <= allowed_requests(limit_per_s)
    assert set(statuses(fleet)) == {200}
