"""Benchmarks, not run by CI. Each prints a table, with its baseline measured in the same run."""
