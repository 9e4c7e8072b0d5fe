"""Keeps a process within its memory and descriptors whatever clients do.

It handles clients outside the limits: many connections that pipeline requests
and read no response, or leave heads, bodies and frames unfinished.
"""
