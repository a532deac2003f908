from hemlocktiller._internal.observe import request_log


def test_events_are_returned_in_order_with_their_fields():
    log = request_log.RequestLog(now=iter([1.5, 2.5]).__next__)
    log.add_event("r1", "placed", target="a")
    log.add_event("r1", "refused", reason=ValueError("full"))
    assert log.events("r1") == [
        {"at_s": 1.5, "event": "placed", "target": "a"},
        {"at_s": 2.5, "event": "refused", "reason": "full"},
    ]
    assert log.events("r2") is None


def test_a_full_request_keeps_its_newest_events():
    log = request_log.RequestLog()
    for number in range(request_log.REQUEST_EVENT_LIMIT + 3):
        log.add_event("r1", "token", number=number)
    kept_events = log.events("r1")
    assert len(kept_events) == request_log.REQUEST_EVENT_LIMIT
    assert kept_events[0]["number"] == 3
    assert log.event_count == request_log.REQUEST_EVENT_LIMIT


def test_the_oldest_requests_are_evicted_at_the_limit():
    log = request_log.RequestLog(limit=3)
    for number in range(5):
        log.add_event(f"r{number}", "placed")
    assert len(log) == 3
    assert log.events("r1") is None
    assert log.events("r2") is not None


def test_the_total_number_of_events_is_bounded():
    log = request_log.RequestLog(limit=100)
    for number in range(100):
        for _ in range(request_log.REQUEST_EVENT_LIMIT):
            log.add_event(f"r{number}", "token")
    max_events = 100 * request_log.MEAN_EVENTS_PER_REQUEST
    assert log.event_count <= max_events
    events_by_request = [log.events(f"r{number}") for number in range(100)]
    assert (
        sum(len(events or []) for events in events_by_request)
        == log.event_count
    )
