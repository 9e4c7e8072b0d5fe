"""Keeps the progress of batch items on a worker's disk.

It handles the loss of many processes at the same moment, or of power on all
VMs, while batch items are part-way or wait for a store that is away. Without
it every such item runs again from its start, when the endpoints have to catch
up anyway. The files are an optimisation: what they lack runs again.
"""
