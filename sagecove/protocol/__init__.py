"""Message types with their names on the wire, and their validation."""
