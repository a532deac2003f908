"""The program `hemlocktiller-agent`."""

from hemlocktiller._internal.agent import app
from hemlocktiller._internal.cli import program


def main() -> None:
    """Serves the target beside it until it is told to stop."""
    program.run("hemlocktiller-agent", "agent", app.Agent)


if __name__ == "__main__":
    main()
