"""Parts of configurations, as the operator writes them."""

import zlib

HOST = "shop.example"
KEY = "key-of-one"
TENANTS = [{"name": "one", "api_keys": [KEY], "priority": 1}]
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15_000,
}


def route(name, kind, service, attempts, **fields):
    """Returns a route whose requests begin with its name."""
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": 20_000 if kind == "streaming" else 1500,
        "target_latency_ms": 500 if kind == "streaming" else 200,
        "priority": 1,
        "backend": service,
        "attempts": attempts,
        "public": False,
        "sticky": kind == "streaming",
        **fields,
    }


def plain_service(name):
    """Returns a plain service."""
    return {
        "name": name,
        "health_check": "/health",
        "max_connections": 110,
        "protocol": "h1",
        "tls": False,
    }


def model_service(name):
    """Returns a service of model replicas that fit on one card."""
    return {
        **plain_service(name),
        "max_connections": 978,
        "engine": {
            "slots": 96,
            "kv_capacity": 50_000,
            "kv_token_bytes": 1_836_000,
            "link_mbps": 400_000.0,
            "stride": 3,
            "models": [{"name": "m", "pace": 1.0, "load_s": 1.0}],
            "step_ms": 1.02,
            "per_seq_ms": 0.014,
            "context_per_k": 0.019,
            "read_per_s": 105_000.0,
            "pairs_per_m": 0.309,
            "chunk": 512,
            "report_lag_ms": 200.0,
            "loads_at_once": 5,
            "delays": [],
            "usual": {"prompt": 774, "answer": 203},
            "layers": 80,
            "layer_mb": 1750.0,
            "act_bytes": 91_800,
            "pipe_mbps": 18_000.0,
            "kinds": [
                {"name": "card", "mb": 240_000.0, "pace": 1.0, "read_x": 1.0}
            ],
        },
    }


def shop(**changes):
    """Returns a configuration of one plain service."""
    return {
        "routes": [
            route("lookup", "idempotent", "booking", 2),
            route("book", "non_idempotent", "booking", 1),
        ],
        "backends": [plain_service("booking")],
        "limits": LIMITS,
        "tenants": TENANTS,
        **changes,
    }


def headers(request_id, deadline_ms=1000, key=KEY):
    """Returns the headers of a plain request."""
    return [
        ("Host", HOST),
        ("Request-Id", request_id),
        ("Deadline-Ms", str(deadline_ms)),
        ("Key", key),
    ]


def drafts(**fields):
    """Returns a configuration of one model service.

    Args:
        **fields: Fields of its route.
    """
    return {
        "routes": [route("draft", "streaming", "drafts", 2, **fields)],
        "backends": [model_service("drafts")],
        "limits": LIMITS,
        "tenants": TENANTS,
    }


def draft_headers(request_id, deadline_ms):
    """Returns the headers of a request for a draft."""
    last_part = zlib.crc32(request_id.encode())
    return [
        *headers(request_id, deadline_ms),
        ("Model", "m"),
        ("Token-Usage", "760,60"),
        ("Prompt-Prefix", f"5c1e07a2:40,{last_part:x}:720"),
    ]
