"""Competition for claims, placing claimed tasks, stopping others for them, durable results."""
