"""Moves machines between shards."""
