"""Popular requests under unrelated crashes, seen by several processes."""

import pytest

from hemlocktiller._internal.links import suspects_feed
from hemlocktiller._internal.policy import suspects
from tests.unit import feed_network
from tests.unit import test_part_evidence_feed

SETTINGS = {"suspect_ttl_s": 600.0}
DIGEST = 1
# More crash times of contact, as the users' page sets it.
CONTACT_S = 3.0
MAX_LATE_RETRIES = 3


class Network(feed_network.Network):
    """Processes that exchange evidence on requests."""

    def __init__(self, size, relays=False):
        super().__init__(
            size,
            lambda clock: suspects_feed.SuspectsFeed(clock, SETTINGS, relays),
        )
        for turn, feed in enumerate(self.feeds):
            feed.trial_turn = lambda digest, turn=turn: turn

    def crash(self, index, target, digests=(DIGEST,)):
        """Records a death at one process, and at the others without work."""
        for number, feed in enumerate(self.feeds):
            running = dict.fromkeys(digests if number == index else (), 0.0)
            feed.record_death(target, running)
        self.deliver()

    def respond(self, index, digest=DIGEST):
        """Records a response at one process."""
        self.feeds[index].record_response(digest)
        self.deliver()

    def advance(self, duration_s):
        """Advances the clock, at which nothing is sent."""
        self.clock.advance(duration_s)

    def states(self, digest=DIGEST):
        """Returns the state of a request at each process."""
        return [feed.state(digest) for feed in self.feeds]


def connected(size, relays=False):
    """Returns linked processes: all, or by the first if they relay."""
    network = Network(size, relays)
    if not relays:
        network.connect_all()
    else:
        for other in range(1, size):
            network.connect(0, other)
    return network


@pytest.mark.parametrize("relays", [False, True])
@pytest.mark.parametrize("size", [2, 3, 7])
@pytest.mark.parametrize("pause_s", [0.1, 1.0, 10.0, 200.0])
@pytest.mark.parametrize("deaths", [2, 3, 9])
def test_a_request_that_one_process_serves_is_not_condemned_at_others(
    size, pause_s, deaths, relays
):
    """Guards against review/3: deaths told to peers, responses not told."""
    network = connected(size, relays)
    network.respond(size - 1)
    for number in range(deaths):
        network.crash(size - 1, f"t{number}")
        network.respond(size - 1)
        network.advance(pause_s)
    assert network.states() == ["clear"] * size


@pytest.mark.parametrize("size", [2, 5])
def test_deaths_are_told_by_one_process_and_responses_by_another(size):
    network = connected(size)
    for number in range(4):
        network.crash(0, f"t{number}")
        network.respond(size - 1)
        network.advance(10.0)
    assert network.states() == ["clear"] * size


@pytest.mark.parametrize("size", [1, 2, 5])
@pytest.mark.parametrize("deaths", [2, 3, 4, 12])
@pytest.mark.parametrize("gap_s", [0.0, 0.3, 2.5])
def test_targets_lost_without_a_response_between_condemn_no_popular_request(
    size, deaths, gap_s
):
    network = connected(size)
    network.respond(0)
    network.advance(1.0)
    dead = 0
    while dead < deaths:
        network.crash(0, f"t{dead}")
        dead += 1
        network.advance(gap_s)
        if "half_open" in network.states():
            break
    network.advance(suspects.CONDEMNATION_DELAY_S)
    assert not {"condemned", "undecided"} & set(network.states())
    if "half_open" in network.states():
        assert network.feeds[0].try_trial(DIGEST)
        network.respond(0)
    assert set(network.states()) <= {"clear", "suspect"}


def test_a_process_that_joins_learns_that_a_request_had_a_response():
    network = Network(3)
    network.connect(0, 1)
    network.respond(0)
    network.crash(0, "a")
    network.crash(0, "b")
    network.advance(suspects.CONDEMNATION_DELAY_S)
    network.connect(0, 2)
    network.connect(1, 2)
    network.deliver()
    network.advance(suspects.CONDEMNATION_DELAY_S)
    assert network.states() == ["half_open"] * 3


def test_a_response_during_a_cut_is_known_after_it():
    network = Network(2)
    there, back = network.connect(0, 1)
    network.crash(0, "a")
    there.is_open = back.is_open = False
    network.feeds[0].on_down(there)
    network.feeds[1].on_down(back)
    network.respond(0)
    network.connect(0, 1)
    network.deliver()
    assert network.states() == ["clear"] * 2
    network.crash(0, "b")
    assert network.states() == ["suspect"] * 2


@pytest.mark.parametrize("relays", [False, True])
@pytest.mark.parametrize("size", [1, 2, 7])
def test_a_request_that_never_had_a_response_is_condemned_at_all(size, relays):
    network = connected(size, relays)
    network.crash(0, "a")
    network.advance(5.0)
    network.crash(size - 1, "b")
    network.advance(suspects.CONDEMNATION_DELAY_S)
    assert network.states() == ["condemned"] * size


def run_where_allowed(network, index):
    """Starts the request at a process if it may; it crashes its target."""
    feed = network.feeds[index]
    state = feed.state(DIGEST)
    may_run = state in suspects.STATES_TO_RUN or (
        state == "half_open" and feed.try_trial(DIGEST)
    )
    if may_run:
        network.crash(index, f"t{network.clock.seconds()}")
    return may_run


@pytest.mark.parametrize("size", [1, 2, 5, 68])
@pytest.mark.parametrize("pause_s", [0.05, 1.0])
def test_a_popular_request_that_begins_to_crash_targets_is_stopped(
    size, pause_s
):
    """Late retries are those after the third crash and the contact time."""
    network = connected(size)
    network.respond(0)
    crash_times_s = []
    while network.clock.seconds() < 200.0:
        for index in range(size):
            if run_where_allowed(network, index):
                crash_times_s.append(network.clock.seconds())
        network.advance(pause_s)
    late = [
        time_s
        for time_s in crash_times_s[3:]
        if time_s > crash_times_s[2] + CONTACT_S
    ]
    assert len(late) <= MAX_LATE_RETRIES
    assert network.states() == ["condemned"] * size


def test_trials_of_two_processes_do_not_overlap():
    network = connected(2)
    network.respond(0)
    network.crash(0, "a")
    network.crash(0, "b")
    network.advance(suspects.CONDEMNATION_DELAY_S)
    assert not network.feeds[1].try_trial(DIGEST)
    assert network.feeds[0].try_trial(DIGEST)
    assert not network.feeds[0].try_trial(DIGEST)
    network.crash(0, "c")
    network.advance(suspects.TRIAL_TURN_S + suspects.CONDEMNATION_DELAY_S)
    assert not network.feeds[1].try_trial(DIGEST)
    assert network.feeds[1].trial_wait_s(DIGEST) > 5.0


def test_another_process_makes_the_trial_that_the_first_has_no_caller_for():
    network = connected(3)
    network.respond(0)
    network.crash(2, "a")
    network.crash(2, "b")
    network.advance(suspects.CONDEMNATION_DELAY_S + 2 * suspects.TRIAL_TURN_S)
    assert network.feeds[2].try_trial(DIGEST)
    network.respond(2)
    assert network.states() == ["clear"] * 3


def test_a_trial_without_a_result_gives_way_to_another():
    network = connected(1)
    network.respond(0)
    network.crash(0, "a")
    network.crash(0, "b")
    network.advance(suspects.CONDEMNATION_DELAY_S)
    assert network.feeds[0].try_trial(DIGEST)
    network.advance(suspects.TRIAL_TIMEOUT_S)
    assert network.feeds[0].try_trial(DIGEST)


@pytest.mark.parametrize("size", [2, 5])
def test_messages_of_a_popular_request_stay_few(size):
    network = connected(size)
    for index in range(size):
        network.respond(index)
    network.message_count = 0
    network.crash(0, "a")
    network.respond(0)
    assert network.message_count <= 6 * (size - 1)
    network.message_count = 0
    for _ in range(100):
        network.respond(0)
    assert network.message_count == 0


def test_responses_of_many_requests_take_a_bounded_room():
    tracker = suspects.Suspects(SETTINGS)
    for digest in range(2 * suspects.MAX_RESPONSES):
        tracker.record_response(digest, 1.0)
    entries = [
        {"digest": digest, "targets": [], "expires_in_s": 1.0}
        for digest in range(2 * suspects.MAX_RESPONSES)
    ]
    known = tracker.responses(entries, 1.0)
    assert len(known) == suspects.MAX_RESPONSES


def test_a_response_is_forgotten_with_the_evidence():
    network = connected(2)
    network.respond(0)
    network.advance(SETTINGS["suspect_ttl_s"])
    network.crash(0, "a")
    network.crash(0, "b")
    network.advance(suspects.CONDEMNATION_DELAY_S)
    assert network.states() == ["condemned"] * 2


@pytest.mark.parametrize("relays", [False, True])
@pytest.mark.parametrize("size", [2, 5])
@pytest.mark.parametrize("pause_s", [0.1, 1.0, 10.0])
def test_a_part_that_one_process_serves_is_not_condemned_at_others(
    size, pause_s, relays
):
    """Plays review/3 with a popular prompt part instead of a request."""
    network = test_part_evidence_feed.Network(size, relays)
    network.connect_all()
    popular = test_part_evidence_feed.CRASHING
    network.feeds[-1].record_output((popular,))
    network.clock.advance(1.0)
    for number in range(12):
        network.crash(-1, f"t{number}", [(popular, 10 + number)])
        network.feeds[-1].record_output((popular,))
        network.deliver()
        network.clock.advance(pause_s)
    assert network.condemned((popular,)) == [None] * size
