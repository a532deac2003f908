"""Records events and trace spans of the runs at this agent."""

from typing import Any
from typing import NamedTuple

from hemlocktiller._internal.agent import stage_runs
from hemlocktiller._internal.observe import request_log as request_log_module
from hemlocktiller._internal.observe import traces


class Recorder(NamedTuple):
    """The request log and the tracer of this process."""

    request_log: request_log_module.RequestLog
    tracer: traces.Tracer

    def add_event(
        self, run: stage_runs.StageRun, event: str, **fields: Any
    ) -> None:
        """Adds an event of a run to the request log."""
        self.request_log.add_event(
            run.key[0],
            event,
            attempt=run.key[1],
            stage=run.stage_index,
            **fields,
        )
