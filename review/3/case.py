"""Two replicas crash, one after the other, under a popular lookup."""

from pathlib import Path
import sys
import threading
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "support"))

import lab as lab_module  # noqa: E402

GATEWAY_COUNT = 3
REPLICAS = ("replica-a", "replica-b", "replica-c")
CRASHING = ("replica-a", "replica-b")
CALLERS = 8
HOT_PATH = "/lookup/2f"
OTHER_PATH = "/lookup/30"
WORK_S = 0.06
WARM_UP_S = 2.0
DOWN_S = 2.5
BETWEEN_CRASHES_S = 10.0
# All replicas are back for so long before requests are judged.
CALM_S = 12.0
JUDGED_REQUESTS = 40
JUDGED_INTERVAL_S = 0.1
# DENIED allows 5 and one in 500 of all requests.
ALLOWED = 5
ALLOWED_RATIO = 1 / 500


def play(lab):
    """Plays the crashes; returns whether DENIED was broken, and a text."""
    lab.start_store()
    lab.put_config(
        lab_module.configuration(
            1, [lab_module.route("lookup", "idempotent", 2)]
        )
    )
    replicas = {
        name: lab.start_replica(name, work_s=WORK_S)[0] for name in REPLICAS
    }
    started = [lab.start_gateway(number) for number in range(GATEWAY_COUNT)]
    lab.wait_ready([gateway for gateway, _ in started])
    fronts = [front for _, front in started]
    # The gateways find each other within two seconds.
    time.sleep(5.0)
    is_hot = threading.Event()
    is_hot.set()
    # Clients stay with the gateway that the platform has chosen for them.
    callers = [
        threading.Thread(
            target=ask_until_stopped, args=(lab, fronts[0], number, is_hot)
        )
        for number in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    time.sleep(WARM_UP_S)
    for name in CRASHING:
        if lab.has_trouble:
            replicas[name].kill()
            lab.record("crash", replica=name)
            time.sleep(DOWN_S)
            lab.start_replica(name, work_s=WORK_S)
        else:
            time.sleep(DOWN_S)
        time.sleep(BETWEEN_CRASHES_S - DOWN_S)
    is_hot.clear()
    for caller in callers:
        caller.join()
    time.sleep(CALM_S)
    for number in range(JUDGED_REQUESTS):
        front = fronts[number % GATEWAY_COUNT]
        gateway = f"edge-{number % GATEWAY_COUNT}"
        lab.send(front, f"judged-{gateway}-{number}", "GET", HOT_PATH)
        lab.send(front, f"other-{gateway}-{number}", "GET", OTHER_PATH)
        time.sleep(JUDGED_INTERVAL_S)
    return judge(lab)


def ask_until_stopped(lab, front, number, is_hot):
    """Asks for the same thing, one request after the other."""
    count = 0
    while is_hot.is_set():
        count += 1
        lab.send(front, f"hot-{number}-{count}", "GET", HOT_PATH)


def judge(lab):
    """Returns whether too many proper requests were denied, and a text."""
    requests = [
        line for line in lab.read_record() if line["what"] == "request"
    ]
    hot_served = sum(
        one["id"].startswith("hot-") and one["status"] == 200
        for one in requests
    )
    judged = [one for one in requests if one["id"].startswith("judged-")]
    others = [one for one in requests if one["id"].startswith("other-")]
    # An answer of a replica bears its signature.
    denied = [
        one
        for one in judged
        if 300 <= one["status"] < 500
        and one["status"] not in (408, 421, 429)
        and not one["signature"]
    ]
    served = sum(one["status"] == 200 for one in others)
    if not served:
        raise lab_module.CouldNotRun("the replicas serve nothing")
    limit = ALLOWED + ALLOWED_RATIO * len(requests)
    statuses = sorted({one["status"] for one in denied})
    gateways = sorted({"-".join(one["id"].split("-")[1:3]) for one in denied})
    return len(denied) > limit, (
        f"{len(denied)} of {len(judged)} lookups of {HOT_PATH} were denied"
        f" (status {statuses}, by {gateways}), of which {hot_served} were"
        f" served before, and {served} of {len(others)} of {OTHER_PATH}"
        f" meanwhile; allowed are {limit:.1f} of {len(requests)}"
    )


if __name__ == "__main__":
    lab_module.play(Path(__file__).resolve().parent, play)
