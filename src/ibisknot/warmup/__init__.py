"""Handles the load on endpoints that are cold, that is slow after their start.

A cold endpoint crashes if it gets requests much faster than its service states.
All processes together keep to that rate, also when they are cut from each other
and when the scheduler changes.
"""
