"""Limits what a key-value service that rejects calls for seconds costs.

The service may reject one process or all of them. The calls that wait for it
are resumed at once when it is back, and few calls are made until then.
"""
