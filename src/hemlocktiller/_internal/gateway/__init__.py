"""Serves callers from targets that pass work on among themselves.

On a platform whose targets forward a request along a given path, no agent
stands beside them: the gateway chooses the path and relays the answer.
"""
