"""Limits and guarantees that hold across all controllers: amounts, transfers, who is owed what."""
