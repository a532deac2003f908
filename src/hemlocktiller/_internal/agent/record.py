"""Where the stages of an agent note what happened to a request."""

from typing import Any
from typing import NamedTuple

from hemlocktiller._internal.agent import runs
from hemlocktiller._internal.observe import explain
from hemlocktiller._internal.observe import traces


class Record(NamedTuple):
    """The journal and the tracer of this process."""

    journal: explain.Journal
    tracer: traces.Tracer

    def note(self, run: runs.Run, event: str, **fields: Any) -> None:
        """Adds an event of a run to the journal."""
        self.journal.note(
            run.key[0], event, attempt=run.key[1], stage=run.index, **fields
        )
