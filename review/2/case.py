"""A gateway stops as planned; another uses a replica that has left."""

from pathlib import Path
import signal
import sys
import threading
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "support"))

import lab as lab_module  # noqa: E402

GATEWAY_COUNT = 6
# Requests are sent in this span after the store has confirmed the leaving.
FIRST_SENT_S = 2.03
LAST_SENT_S = 2.28
SEND_INTERVAL_S = 0.02
# The replica ends this long after it has left: `drain_ms` and a little more.
REPLICA_ENDS_S = 2.2
STOP_WAIT_S = 12.0
# Clocks and records of the processes here are compared to this precision.
MARGIN_S = 0.02
IS_WATCHER_LINE = '"is_watcher": false'


def play(lab):
    """Plays a planned stop; returns whether DRAIN was broken, and a text."""
    lab.start_store()
    lab.put_config(
        lab_module.configuration(
            1, [lab_module.route("booking", "non_idempotent", 1)]
        )
    )
    replicas = {}
    for name in ("replica-a", "replica-b", "replica-c", "replica-d"):
        replicas[name] = lab.start_replica(name, work_s=0.25)
    gateways = []
    fronts = []
    for number in range(GATEWAY_COUNT):
        gateway, front = lab.start_gateway(number)
        gateways.append(gateway)
        fronts.append(front)
    lab.wait_ready(gateways)
    # All are linked to each other, and the traffic has been calm for longer
    # than `contact_ms`.
    time.sleep(6.0)
    for number, front in enumerate(fronts):
        lab.send(front, f"calm-{number}", "POST", "/booking/1", b"hall")
    stopping = next(
        number
        for number, gateway in enumerate(gateways)
        if IS_WATCHER_LINE not in gateway.output()
    )
    if lab.has_trouble:
        lab.record("sigterm", gateway=gateways[stopping].name)
        gateways[stopping].signal(signal.SIGTERM)
        gateways[stopping].wait(STOP_WAIT_S)
        lab.record("gateway_ended", gateway=gateways[stopping].name)
    time.sleep(0.03)
    leaving, leaving_address = replicas["replica-a"]
    lab.control(leaving_address, leave=True)
    left_at = next(
        line["at"]
        for line in lab.read_record()
        if line["what"] == "entry_removed"
    )
    others = [
        front for number, front in enumerate(fronts) if number != stopping
    ]
    callers = []
    ender = threading.Timer(
        left_at + REPLICA_ENDS_S - time.time(), leaving.kill
    )
    ender.start()
    time.sleep(max(0.0, left_at + FIRST_SENT_S - time.time()))
    turn = 0
    while time.time() < left_at + LAST_SENT_S:
        for number, front in enumerate(others * 2):
            caller = threading.Thread(
                target=lab.send,
                args=(
                    front,
                    f"late-{turn}-{number}",
                    "POST",
                    "/booking/2",
                    b"hall",
                ),
            )
            caller.start()
            callers.append(caller)
        turn += 1
        time.sleep(SEND_INTERVAL_S)
    for caller in callers:
        caller.join()
    ender.join()
    return judge(lab, left_at)


def judge(lab, left_at):
    """Returns whether a request came too late, and a text."""
    lines = lab.read_record()
    late = {
        line["id"]: line["at"] - left_at
        for line in lines
        if line["who"] == "replica-a"
        and line["what"] == "run"
        and line["at"] > left_at + lab_module.DRAIN_MS / 1000 + MARGIN_S
    }
    answered = {
        line["id"]: line["status"]
        for line in lines
        if line["what"] == "request" and line["id"].startswith("late-")
    }
    if not any(status == 200 for status in answered.values()):
        raise lab_module.CouldNotRun("no late request was answered")
    lost = [one for one in late if answered.get(one) != 200]
    latest = f"{max(late.values()):.2f} s" if late else "-"
    return bool(late), (
        f"{len(late)} of {len(answered)} requests reached the replica later"
        f" than drain_ms after it had left, the last after {latest};"
        f" {len(lost)} of them were run and lost as it ended"
    )


if __name__ == "__main__":
    lab_module.play(Path(__file__).resolve().parent, play)
