"""The program `hemlocktiller-agent`."""

from hemlocktiller._internal.agent import app
from hemlocktiller._internal.cli import program


def main() -> None:
    """Runs an agent for the target on its VM until it is shut down."""
    program.run("hemlocktiller-agent", "agent", app.Agent)


if __name__ == "__main__":
    main()
