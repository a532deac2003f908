"""Half of the chains die at once while streams run."""

import pytest

from benchmarks import half_fleet

CHAINS = 4
STAGES = 2
REQUESTS = 24
SEED = 1
MOST_ATTEMPTS = 4  # As many as an entry's settings allow.


@pytest.fixture
def outcome(deployment):
    half_fleet.start(deployment, CHAINS, STAGES)
    return half_fleet.run(deployment, CHAINS, REQUESTS, SEED)


def test_all_are_answered_without_a_retry_storm(outcome):
    assert outcome.wrong == []
    assert [one for one in outcome.exchanges if not one.whole] == []
    assert max(outcome.attempts.values()) <= MOST_ATTEMPTS
    assert sum(outcome.attempts.values()) <= 2 * REQUESTS
    wasted = outcome.ran_tokens - outcome.delivered_tokens
    assert wasted <= 0.05 * outcome.ran_tokens
