"""Measurements of what one more of something costs a process."""
