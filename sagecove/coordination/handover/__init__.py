"""Shards and machines that change hands."""
