"""The program `hemlocktiller-entry`."""

from hemlocktiller._internal.cli import program
from hemlocktiller._internal.entry import app


def main() -> None:
    """Serves callers until it is told to stop."""
    program.run("hemlocktiller-entry", "entry", app.Entry)


if __name__ == "__main__":
    main()
