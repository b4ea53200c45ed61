"""State and decisions of a controller. Does no I/O; time and random numbers are passed in."""
