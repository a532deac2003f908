"""A request that crashes plain replicas comes again and again."""

from pathlib import Path
import sys
import threading
import time

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

import clients  # noqa: E402
import configs  # noqa: E402
import deployment as deployments  # noqa: E402

REPLICAS = 3
HEARTBEAT_S = 1.2
# A replica that has crashed is back after some seconds.
BACK_AFTER_S = 2.0
# Its heartbeats begin half a heartbeat after its start.
FIRST_BEAT_S = 0.6
CONTACT_S = 3.0
ATTEMPTS = 9
ATTEMPT_EVERY_S = 6.0
CRASHES_BEFORE = 3
MAX_LATER = 3
BYSTANDERS = 6


class Platform(threading.Thread):
    """Starts replicas that have crashed again, at the same address."""

    def __init__(self, deployment):
        super().__init__(daemon=True)
        self.deployment = deployment
        self.ports = {}
        self.is_stopping = False

    def start_replica(self, name, first_beat_s):
        """Starts a replica under the id that it had."""
        address = self.deployment.start_replica(
            name, "booking", "--heartbeat-s", HEARTBEAT_S,
            "--first-beat-s", first_beat_s, "--port", self.ports.get(name, 0),
        )  # fmt: skip
        self.ports[name] = address.rpartition(":")[2]

    def run(self):
        """Starts each ended replica after some seconds."""
        ended_s = {}
        while not self.is_stopping:
            time.sleep(0.05)
            for name in list(self.ports):
                if not self.deployment.has_ended(name):
                    continue
                since_s = ended_s.setdefault(name, time.monotonic())
                if time.monotonic() - since_s >= BACK_AFTER_S:
                    del ended_s[name]
                    self.start_replica(name, FIRST_BEAT_S)
                    self.deployment.note(f"platform: {name} is back")


def book_until(address, number, stop, seen):
    """Sends sound bookings, one after the other."""
    count = 0
    while not stop.is_set():
        count += 1
        request_id = f"booking-{number}-{count}"
        caller = clients.Caller(address, 5.0)
        headers = configs.headers(request_id, 1000)
        answer = caller.send("POST", "/book/1", headers, b"{}")
        caller.close()
        seen.append((time.time(), request_id, answer.status))
        time.sleep(0.02)


def case(deployment):
    """Returns whether the request was kept from replicas in time."""
    deployment.start_store()
    deployment.put_config(configs.shop())
    platform = Platform(deployment)
    for number in range(REPLICAS):
        platform.start_replica(f"booking-{number}", 0.0)
    address = deployment.start_gateway("edge-a-1")
    platform.start()
    time.sleep(2.0)
    stop = threading.Event()
    seen = []
    bystanders = [
        threading.Thread(target=book_until, args=(address, n, stop, seen))
        for n in range(BYSTANDERS)
    ]
    for thread in bystanders:
        thread.start()
    mark = "crashes-replicas" if deployments.has_trouble() else "sound"
    for attempt in range(1, ATTEMPTS + 1):
        request_id = f"attempt-{attempt}"
        caller = clients.Caller(address, 5.0)
        answer = caller.send(
            "GET", f"/lookup/{mark}", configs.headers(request_id, 1500)
        )
        caller.close()
        deployment.note(
            "answer",
            request=request_id,
            status=answer.status,
            text=answer.body.decode("latin-1")[:70],
        )
        time.sleep(ATTEMPT_EVERY_S)
    stop.set()
    for thread in bystanders:
        thread.join()
    platform.is_stopping = True
    platform.join()
    runs = deployment.runs()
    if not runs:
        raise deployments.CouldNotRun("nothing ran")
    crashes = [run["at"] for run in runs if run["what"] == "crashed"]
    if len(crashes) < CRASHES_BEFORE:
        return True
    limit_s = crashes[CRASHES_BEFORE - 1] + CONTACT_S
    arrived, retries, arrivals = set(), [], 0
    for run in (run for run in runs if run["what"] == "run"):
        if not run["request"].startswith("attempt"):
            continue
        if run["at"] > limit_s:
            arrivals += 1
            if run["request"] in arrived:
                retries.append(run["request"])
        arrived.add(run["request"])
    ran = {run["request"] for run in runs}
    lost = [
        request
        for at_s, request, status in seen
        if at_s > limit_s and status != 200 and request in ran
    ]
    deployment.note(
        "BUDGET: after three crashes and contact_ms",
        crashes=len(crashes),
        arrivals=arrivals,
        retries=len(retries),
    )
    deployment.note(
        "sound bookings that had begun then and were lost", requests=lost
    )
    return len(retries) <= MAX_LATER


if __name__ == "__main__":
    deployments.play(FOLDER, case)
