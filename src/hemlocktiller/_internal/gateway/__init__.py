"""Gateway for platforms whose targets forward requests themselves.

On such a platform no agent runs next to a target: the gateway chooses the
path of targets that a request takes and relays the response to the caller.
"""
