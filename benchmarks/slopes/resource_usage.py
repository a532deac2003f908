"""What a running process has used, as the kernel counts it."""

import functools
import os
from pathlib import Path
import socket
import struct
import subprocess
import sys
import tempfile

ROOT = Path(__file__).parents[2]
CODE_FOLDERS = ("src", "tests", "benchmarks")
PROGRAMS = tuple(
    f"hemlocktiller._internal.cli.{name}"
    for name in ("agent", "entry", "operator")
)
KIB = 1024
NS_PER_S = 1_000_000_000
HEADER_BYTES = 52  # IPv4, TCP and its timestamps
TCP_INFO_BYTES = 144
ACKED_OFFSET = 120  # bytes_acked and bytes_received, 64 bits each
SEGMENTS_OFFSET = 136  # segs_out and segs_in, 32 bits each


def cpu_s(pid: int) -> float:
    """Returns the processor time of a process with one thread."""
    fields = Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(fields[0]) / NS_PER_S


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process."""
    return _status_kib(pid, "VmRSS:") * KIB


def peak_bytes(pid: int) -> int:
    """Returns the largest resident memory that a process has had."""
    return _status_kib(pid, "VmHWM:") * KIB


def wire_bytes(transport) -> int:
    """Returns the bytes of a connection so far, both ways, with headers."""
    info = transport.getHandle().getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
    )
    data = sum(struct.unpack_from("QQ", info, ACKED_OFFSET))
    segments = sum(struct.unpack_from("II", info, SEGMENTS_OFFSET))
    return data + segments * HEADER_BYTES


@functools.cache
def cache_byte_code() -> tempfile.TemporaryDirectory:
    """Gives child processes cached byte code, as an installed package has.

    Compiling a module anew takes memory that a deployed process does not
    spend.

    Returns:
        The folder of the byte code, which lives as long as this process.
    """
    folder = tempfile.TemporaryDirectory(prefix="hemlocktiller-bytecode-")
    os.environ["PYTHONPYCACHEPREFIX"] = folder.name
    os.environ.pop("PYTHONDONTWRITEBYTECODE", None)
    words = [sys.executable, "-m", "compileall", "-q", *CODE_FOLDERS]
    subprocess.run(words, cwd=ROOT, check=True)
    # Importing them compiles the libraries that the programs use, too.
    words = [sys.executable, "-c", f"import {', '.join(PROGRAMS)}"]
    subprocess.run(words, cwd=ROOT, check=True)
    return folder


def _status_kib(pid: int, name: str) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(name):
            return int(line.split()[1])
    raise ValueError(f"no {name} of process {pid}")
