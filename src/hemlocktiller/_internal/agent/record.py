"""Records events and trace spans of the runs at this agent."""

from typing import Any
from typing import NamedTuple

from hemlocktiller._internal.agent import runs
from hemlocktiller._internal.observe import explain
from hemlocktiller._internal.observe import traces


class Record(NamedTuple):
    """The event journal and the tracer of this process."""

    journal: explain.Journal
    tracer: traces.Tracer

    def note(self, run: runs.StageRun, event: str, **fields: Any) -> None:
        """Adds an event of a run to the event journal."""
        self.journal.note(
            run.key[0],
            event,
            attempt=run.key[1],
            stage=run.stage_index,
            **fields,
        )
