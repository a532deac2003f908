"""Exit codes of the operators' program."""

import enum

from hemlocktiller._internal import settings


class ExitCode(enum.IntEnum):
    """Exit code of a run of the program."""

    DONE = 0
    INTERNAL_ERROR = 1
    USAGE = 2
    FINDINGS = 3
    LOST_RACE = 4
    STORE_UNAVAILABLE = 5
    OUTCOME_UNKNOWN = 6
    INCOMPLETE = 7
    NOT_FOUND = 8
    BAD_SETTINGS = settings.EXIT_BAD_SETTINGS


MEANINGS = {
    ExitCode.DONE: "done",
    ExitCode.INTERNAL_ERROR: "a fault of the program itself",
    ExitCode.USAGE: "a wrong command line",
    ExitCode.FINDINGS: "the document has findings; nothing was written",
    ExitCode.LOST_RACE: "the base is not the version in the store;"
    " nothing was written",
    ExitCode.STORE_UNAVAILABLE: "the store did not answer;"
    " nothing was written",
    ExitCode.OUTCOME_UNKNOWN: "it can't be told whether the write took"
    " effect; see `diff`",
    ExitCode.INCOMPLETE: "some processes did not answer, or did not get"
    " there in time",
    ExitCode.NOT_FOUND: "no such process or request",
    ExitCode.BAD_SETTINGS: "the settings have findings",
}
