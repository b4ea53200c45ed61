"""Messages as they stand on the wire, and their validation."""
