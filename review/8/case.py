"""A replica leaves just after the store has turned to a gateway again."""

from pathlib import Path
import sys
import threading
import time

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

import clients  # noqa: E402
import configs  # noqa: E402
import deployment as deployments  # noqa: E402
import relay as relays  # noqa: E402

GATEWAYS = 3
REPLICAS = 8
CALLERS = 12
SILENCE_S = 4.0
CONTACT_S = 3.0
DRAIN_S = 2.0
# For the way of a request from the gateway to the replica.
MARGIN_S = 0.03
# The replica serves for a little longer than `drain_ms`.
SERVES_S = 2.25
LEAVING = "booking-0"
DISCOVERY = "GET /api/objects/gateways"


def call_until(address, number, stop, seen):
    """Sends lookups and bookings on one connection."""
    caller = clients.Caller(address, 5.0)
    count = 0
    while not stop.is_set():
        count += 1
        request_id = f"c{number}-{count}"
        method, path, body = (
            ("GET", "/lookup/1", b"")
            if number % 2
            else ("POST", "/book/1", b"{}")
        )
        headers = configs.headers(request_id, 1500)
        answer = caller.send(method, path, headers, body)
        seen.append((request_id, path, answer))
        if (
            not answer.is_whole
            or answer.headers.get("connection", "").lower() == "close"
        ):
            caller.close()
            caller = clients.Caller(address, 5.0)
    caller.close()


class Watcher:
    """Notes when the gateway's call for its peers is dropped or passes."""

    def __init__(self):
        self.dropped_after_s = float("inf")
        self.was_dropped = threading.Event()
        self.has_passed = threading.Event()

    def on_call(self, line, was_dropped):
        """Handles the first line of a call."""
        if not line.startswith(DISCOVERY):
            return
        if not was_dropped:
            self.has_passed.set()
        elif time.monotonic() >= self.dropped_after_s:
            self.was_dropped.set()


def turn_away(deployment, relay):
    """Turns the gateway away for a while; returns when that ended."""
    watcher = Watcher()
    relay.on_call = watcher.on_call
    watcher.dropped_after_s = time.monotonic() + SILENCE_S
    deployment.note("store: silent to edge-a-0")
    relay.is_silent = True
    if not watcher.was_dropped.wait(3 * SILENCE_S):
        raise deployments.CouldNotRun("no call was dropped")
    time.sleep(0.05)
    relay.is_silent = False
    ended_s = time.time()
    deployment.note("store: answers edge-a-0 again")
    watcher.has_passed.clear()
    if not watcher.has_passed.wait(5.0):
        raise deployments.CouldNotRun("no call has passed")
    # The answer has arrived by then.
    time.sleep(0.05)
    return ended_s


def case(deployment):
    """Returns whether no request came later than the bound."""
    deployment.start_store()
    deployment.put_config(configs.shop())
    for number in range(REPLICAS):
        deployment.start_replica(
            f"booking-{number}", "booking",
            "--serves-s", SERVES_S, "--heartbeat-s", 1.2,
        )  # fmt: skip
    relay = relays.Relay(deployment.store)
    address = deployment.start_gateway("edge-a-0", relay.address)
    for number in range(1, GATEWAYS):
        deployment.start_gateway(f"edge-a-{number}")
    time.sleep(5.0)
    stop = threading.Event()
    seen = []
    threads = [
        threading.Thread(target=call_until, args=(address, n, stop, seen))
        for n in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(1.0)
    in_touch_s = time.time()
    if deployments.has_trouble():
        in_touch_s = turn_away(deployment, relay) + CONTACT_S
    deployment.signal(LEAVING, deployments.LEAVE)
    deployment.wait_for(lambda: deployment.is_gone(LEAVING), "it has left")
    removed_s = time.time()
    deployment.note(f"store: the entry of {LEAVING} is removed")
    time.sleep(SERVES_S + 2.0)
    stop.set()
    for thread in threads:
        thread.join()
    runs = [
        run
        for run in deployment.runs()
        if run["what"] == "run" and run["replica"] == LEAVING
    ]
    if not runs:
        raise deployments.CouldNotRun("nothing ran there")
    limit_s = max(removed_s + DRAIN_S, in_touch_s) + MARGIN_S
    late = [run for run in runs if run["at"] > limit_s]
    deployment.note(
        "DRAIN: later than drain_ms after the removal, at a machine in touch",
        requests=[run["request"] for run in late],
        last_after_s=round(max(run["at"] for run in runs) - removed_s, 3),
        in_touch_after_s=round(in_touch_s - removed_s, 3),
    )
    lost = {request for request, _, answer in seen if answer.status != 200}
    deployment.note("answers other than 200", requests=sorted(lost)[:40])
    return not late


if __name__ == "__main__":
    deployments.play(FOLDER, case)
