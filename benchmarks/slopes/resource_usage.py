"""Resource usage of processes and connections, as counted by the kernel."""

import functools
import os
from pathlib import Path
import socket
import struct
import subprocess
import sys
import tempfile

REPOSITORY_ROOT = Path(__file__).parents[2]
SOURCE_DIRECTORIES = ("src", "tests", "benchmarks")
PROGRAM_MODULES = tuple(
    f"hemlocktiller._internal.cli.{name}"
    for name in ("agent", "entry", "operator")
)
KIB = 1024
NS_PER_S = 1_000_000_000
SEGMENT_HEADER_BYTES = 52  # IPv4 and TCP headers with TCP timestamps.
# Fields of `struct tcp_info` of Linux.
TCP_INFO_BYTES = 144
BYTES_ACKED_OFFSET = 120  # bytes_acked and bytes_received, 64 bits each.
SEGS_OUT_OFFSET = 136  # segs_out and segs_in, 32 bits each.


def cpu_s(pid: int) -> float:
    """Returns the processor time of a process that has a single thread."""
    fields = Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(fields[0]) / NS_PER_S


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process."""
    return _status_kib(pid, "VmRSS:") * KIB


def peak_resident_bytes(pid: int) -> int:
    """Returns the peak resident memory of a process."""
    return _status_kib(pid, "VmHWM:") * KIB


def connection_bytes(transport) -> int:
    """Returns the bytes sent and received on a TCP connection so far.

    The headers of the segments are included.
    """
    info = transport.getHandle().getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
    )
    payload_bytes = sum(struct.unpack_from("QQ", info, BYTES_ACKED_OFFSET))
    segment_count = sum(struct.unpack_from("II", info, SEGS_OUT_OFFSET))
    return payload_bytes + segment_count * SEGMENT_HEADER_BYTES


@functools.cache
def precompile_bytecode() -> tempfile.TemporaryDirectory:
    """Compiles the bytecode that child processes use.

    An installed package has cached bytecode. Without a cache, the measured
    processes would also use memory to compile their modules.

    Returns:
        The directory of the bytecode, which is deleted when this process
        exits.
    """
    directory = tempfile.TemporaryDirectory(prefix="hemlocktiller-bytecode-")
    os.environ["PYTHONPYCACHEPREFIX"] = directory.name
    os.environ.pop("PYTHONDONTWRITEBYTECODE", None)
    command = [sys.executable, "-m", "compileall", "-q", *SOURCE_DIRECTORIES]
    subprocess.run(command, cwd=REPOSITORY_ROOT, check=True)
    # Importing the programs also compiles the libraries that they use.
    command = [sys.executable, "-c", f"import {', '.join(PROGRAM_MODULES)}"]
    subprocess.run(command, cwd=REPOSITORY_ROOT, check=True)
    return directory


def _status_kib(pid: int, field: str) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(field):
            return int(line.split()[1])
    raise ValueError(f"/proc/{pid}/status has no field {field}")
