"""Claims on jobs, placement of claimed tasks, preemption for them, and their durable results."""
