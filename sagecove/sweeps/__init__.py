"""Job templates with parameters, and sweeps: one job for each point of a parameter space."""
