"""Scheduling and routing decisions: functions of state and time, no I/O."""
