"""Versions of the object store, ordered across restores from a backup.

A store that is restored from a copy of its past gives the revisions after
that copy out a second time. It tells its clients by an era that rises with
each restore. A version joins both in one integer, so that any version of a
later era is higher than all of an earlier one. A store without eras is always
in era 0, where version and revision are the same.
"""

# Revisions of one era; leaves 2 million eras below 2**53, up to which JSON
# readers keep integers exact.
REVISIONS_PER_ERA = 2**32


def join(era: int, revision: int) -> int:
    """Returns the version of a revision of an era."""
    return era * REVISIONS_PER_ERA + revision


def era_of(version: int) -> int:
    """Returns the era of a version."""
    return version // REVISIONS_PER_ERA


def revision_of(version: int) -> int:
    """Returns the revision of a version, as the store counts it."""
    return version % REVISIONS_PER_ERA
