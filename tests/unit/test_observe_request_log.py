from hemlocktiller._internal.observe import request_log


def test_events_come_back_in_order_with_their_fields():
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
    events = log.events("r1")
    assert len(events) == request_log.REQUEST_EVENT_LIMIT
    assert events[0]["number"] == 3
    assert log.event_count == request_log.REQUEST_EVENT_LIMIT


def test_the_oldest_requests_go_when_there_are_too_many():
    log = request_log.RequestLog(limit=3)
    for number in range(5):
        log.add_event(f"r{number}", "placed")
    assert len(log) == 3
    assert log.events("r1") is None
    assert log.events("r2") is not None


def test_events_are_bounded_over_all_requests():
    log = request_log.RequestLog(limit=100)
    for number in range(100):
        for _ in range(request_log.REQUEST_EVENT_LIMIT):
            log.add_event(f"r{number}", "token")
    bound = 100 * request_log.MEAN_EVENTS_PER_REQUEST
    assert log.event_count <= bound
    kept = [log.events(f"r{number}") for number in range(100)]
    assert sum(len(events or []) for events in kept) == log.event_count
