"""Sessions for developers; CI runs the same checks by `.ci/run`."""

import nox

nox.options.sessions = ["lint", "generated", "tests"]
SOURCES = ("src", "tests", "benchmarks", "examples", "schema", "platform")


@nox.session
def lint(session):
    """Checks the format and runs the linters."""
    session.install("-e", ".[dev]")
    session.run("ruff", "format", "--check", ".")
    session.run("ruff", "check", ".")
    session.run("flake8", *SOURCES)


@nox.session
def generated(session):
    """Compares the generated code and pages with their sources."""
    session.install("-e", ".[dev]")
    for name in ("generate", "settings_doc", "metrics_doc"):
        session.run("python", f"schema/{name}.py", "--check")


@nox.session
def tests(session):
    """Runs the tests."""
    session.install("-e", ".[dev]")
    session.run("python", "-m", "pytest", *session.posargs)


@nox.session
def campaign(session):
    """Runs the seeded faults over more seeds than CI does."""
    session.install("-e", ".[dev]")
    arguments = session.posargs or ["--seeds", "0:20"]
    session.run("python", "-m", "tests.functional.campaign", *arguments)
