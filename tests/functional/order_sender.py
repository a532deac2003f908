"""Sends one control order to an agent, as an entry would, and ends.

Prints the answer as JSON after the line that says where it dialled, so
that the harness can run it like any other process.
"""

import argparse
import json
import random

from twisted.internet import reactor

from hemlocktiller._internal.links import dialer
from hemlocktiller._internal.links import link as link_module
from tests.functional import harness

TIMEOUT_S = 20.0
LINKS = {
    "secret": harness.LINK_SECRET,
    "heartbeat_interval_s": 0.5,
    "silence_timeout_s": 5.0,
    "coalesce_s": 0.0,
    "reconnect_min_s": 0.05,
    "reconnect_max_s": 0.2,
    "frame_bytes": 4 << 20,
    "connect_timeout_s": 5.0,
}


def main() -> None:
    """Sends the order of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--lease", required=True)
    parser.add_argument("--fencing-number", type=int, required=True)
    options = parser.parse_args()
    order = {
        "type": "order",
        "order": "order-of-a-test",
        "lease": options.lease,
        "fencing_number": options.fencing_number,
        "kind": "change_role",
        "arguments": {"role": f"role-{options.fencing_number}"},
    }
    local = link_module.LocalProcess(
        "sender", "entry", "sender", harness.DATA_CENTRE, lambda: 0
    )

    def on_message(link, message) -> None:
        if message["type"] == "order_result":
            print(json.dumps(message), flush=True)
            reactor.stop()

    handlers = link_module.Handlers(
        lambda link: link.send(order), on_message, lambda link, reason: None
    )
    print(f"listening {options.host}:{options.port}", flush=True)
    dialer.Dialer(
        reactor,
        LINKS,
        local,
        dialer.Address(options.host, options.port),
        handlers,
        lambda: None,
        random.Random(0),
    ).start()
    reactor.callLater(TIMEOUT_S, reactor.stop)
    reactor.run()


if __name__ == "__main__":
    main()
