"""Measurements: each prints a table, with its baseline in the same run. None is part of CI."""
