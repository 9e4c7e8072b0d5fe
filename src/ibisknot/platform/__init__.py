"""Adapter of the users' platform: its names, formats and calls.

The adapter only translates and makes no decisions. The platform's names occur
in no other package of the product.
"""
