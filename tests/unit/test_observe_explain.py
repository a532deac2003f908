from hemlocktiller._internal.observe import explain


def test_events_are_returned_in_order_with_their_fields():
    journal = explain.Journal(now=iter([1.5, 2.5]).__next__)
    journal.note("r1", "placed", target="a")
    journal.note("r1", "refused", reason=ValueError("full"))
    assert journal.events("r1") == [
        {"at_s": 1.5, "event": "placed", "target": "a"},
        {"at_s": 2.5, "event": "refused", "reason": "full"},
    ]
    assert journal.events("r2") is None


def test_a_full_request_keeps_its_newest_events():
    journal = explain.Journal()
    for number in range(explain.REQUEST_EVENT_LIMIT + 3):
        journal.note("r1", "token", number=number)
    kept_events = journal.events("r1")
    assert len(kept_events) == explain.REQUEST_EVENT_LIMIT
    assert kept_events[0]["number"] == 3
    assert journal.event_count == explain.REQUEST_EVENT_LIMIT


def test_the_oldest_requests_are_evicted_at_the_limit():
    journal = explain.Journal(limit=3)
    for number in range(5):
        journal.note(f"r{number}", "placed")
    assert len(journal) == 3
    assert journal.events("r1") is None
    assert journal.events("r2") is not None


def test_the_total_number_of_events_is_bounded():
    journal = explain.Journal(limit=100)
    for number in range(100):
        for _ in range(explain.REQUEST_EVENT_LIMIT):
            journal.note(f"r{number}", "token")
    max_events = 100 * explain.MEAN_EVENTS_PER_REQUEST
    assert journal.event_count <= max_events
    events_by_request = [journal.events(f"r{number}") for number in range(100)]
    assert (
        sum(len(events or []) for events in events_by_request)
        == journal.event_count
    )
