"""Traffic that leaves a data centre although its own endpoints would do.

Requests between data centres are slower and cost money. A data centre whose own
endpoints are fuller than others has to use them nevertheless, at once, and for
as long as that lasts.
"""
