"""Decisions as functions of state and a given time, without I/O."""
