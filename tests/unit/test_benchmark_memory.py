"""The peak memory that benchmarks report is that of the program alone."""

from benchmarks.slopes import operator_check

PARENT_BYTES = 256 * 1024 * 1024
PAGE_BYTES = 4096


def test_the_peak_of_a_program_excludes_the_memory_of_its_parent():
    parent_memory = bytearray(PARENT_BYTES)
    parent_memory[::PAGE_BYTES] = b"1" * (PARENT_BYTES // PAGE_BYTES)
    usage = operator_check.measure_check(10)
    del parent_memory
    assert 0 < usage["peak_bytes"] < PARENT_BYTES
    assert usage["cpu_s"] > 0
