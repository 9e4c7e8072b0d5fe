"""Serving system for online and batch language inference on one fleet."""

__version__ = "0.1.0"
