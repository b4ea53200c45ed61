"""Data kept in the state service: record types, a local mirror, and paced requests."""
