"""The one owner of all state in a process. No I/O: time and randomness are passed in."""
