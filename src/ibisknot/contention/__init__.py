"""Shares slots among batch items when there are fewer than the items need."""
