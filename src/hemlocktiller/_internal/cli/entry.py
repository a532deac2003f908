"""The program `hemlocktiller-entry`."""

from hemlocktiller._internal.cli import program
from hemlocktiller._internal.entry import app


def main() -> None:
    """Runs an entry that serves callers until it is shut down."""
    program.run("hemlocktiller-entry", "entry", app.Entry)


if __name__ == "__main__":
    main()
