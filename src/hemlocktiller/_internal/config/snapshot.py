"""One version of the configuration, indexed for use on the request path."""

import hashlib
import hmac
from typing import NamedTuple

from hemlocktiller._internal import documents
from hemlocktiller._internal.schemas import config


class WorkspaceView(NamedTuple):
    """A workspace with its plan and the allowance of that plan.

    Attributes:
        workspace: Name of the workspace.
        plan: The plan of the workspace.
        allowance: The models, services and targets that the plan may use.
        limits: Limits of the plan, with defaults filled in.
    """

    workspace: str
    plan: config.Plan
    allowance: config.Allowance
    limits: config.Limits


class Snapshot(NamedTuple):
    """A configuration with its version; not modified after it was built.

    Attributes:
        version: Version of the object that holds the configuration.
        document: The configuration as operators wrote it.
        plans: Plans by name.
        allowances: Allowances by plan name.
        workspaces: Views by workspace name.
        workspaces_by_key_digest: Key digest and view by key digest. The
            digest is kept to be compared in constant time.
    """

    version: int
    document: config.Config
    plans: dict[str, config.Plan]
    allowances: dict[str, config.Allowance]
    workspaces: dict[str, WorkspaceView]
    workspaces_by_key_digest: dict[str, tuple[str, WorkspaceView]]


def build(version: int, document: config.Config) -> Snapshot:
    """Builds the snapshot of a document that has no findings.

    Args:
        version: Version of the object that holds the document.
        document: The configuration.
    """
    plans = {plan["plan"]: plan for plan in document["plans"]}
    allowances = {item["plan"]: item for item in document["allowances"]}
    workspaces = {}
    workspaces_by_key_digest = {}
    for plan in document["plans"]:
        allowance = allowances.get(
            plan["plan"], _empty_allowance(plan["plan"])
        )
        limits = _limits_with_defaults(plan)
        for item in plan["workspaces"]:
            name = item["workspace"]
            view = WorkspaceView(name, plan, allowance, limits)
            workspaces[name] = view
            workspaces_by_key_digest[item["key_digest"]] = (
                item["key_digest"],
                view,
            )
    return Snapshot(
        version,
        document,
        plans,
        allowances,
        workspaces,
        workspaces_by_key_digest,
    )


def key_digest(key: str) -> str:
    """Returns the digest by which a plan lists a bearer key."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def workspace_of_key(snapshot: Snapshot, key: str) -> WorkspaceView | None:
    """Returns the workspace that a bearer key belongs to, or None."""
    digest = key_digest(key)
    found = snapshot.workspaces_by_key_digest.get(digest)
    if found is None or not hmac.compare_digest(found[0], digest):
        return None
    return found[1]


def may_use_model(view: WorkspaceView, model: str) -> bool:
    """Returns whether a workspace may use a model."""
    return model in view.allowance["models"]


def may_use_service(view: WorkspaceView, service: str) -> bool:
    """Returns whether a workspace may use a plain service."""
    return service in view.allowance["services"]


def may_use_target(
    view: WorkspaceView, data_centre: str, accelerator_kind: str
) -> bool:
    """Returns whether a workspace may use targets of a data centre and kind.

    A plain service has no accelerator: its accelerator kind is the empty
    string, which every plan may use.
    """
    data_centres = view.allowance.get("data_centres")
    if data_centres and data_centre not in data_centres:
        return False
    kinds = view.allowance.get("accelerator_kinds")
    return not (kinds and accelerator_kind and accelerator_kind not in kinds)


def limits(view: WorkspaceView) -> config.Limits:
    """Returns the limits of a workspace, with defaults filled in."""
    return view.limits


def _limits_with_defaults(plan: config.Plan) -> config.Limits:
    """Returns the limits of a plan, with defaults filled in."""
    schema = documents.read_schema("config")["$defs"]["Limits"]
    return documents.with_defaults(plan.get("limits", {}), schema)


def _empty_allowance(plan_name: str) -> config.Allowance:
    """Returns an allowance without models and services."""
    return {"plan": plan_name, "models": [], "services": []}


EMPTY = build(0, {"plans": [], "allowances": []})
