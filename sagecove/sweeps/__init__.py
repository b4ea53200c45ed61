"""Templates filled with parameters, and sweeps that expand into many jobs, counted alike."""
