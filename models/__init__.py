"""Explicit-state models of sagecove's protocols, which tests search exhaustively."""
