"""Handles the loss of a data centre that the operator evacuates.

From a few seconds after the operator's order until it is taken back no request
is sent to the endpoints there, whatever part of the fleet or of the store is
unreachable meanwhile.
"""
