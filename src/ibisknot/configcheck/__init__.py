"""Checks a configuration before an operator sends it.

It answers changes that are accepted and then fail under traffic: routes that
never match, keys that two organisations hold, and limits that contradict each
other.
"""
