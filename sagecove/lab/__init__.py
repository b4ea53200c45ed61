"""Fakes of the systems around sagecove, for tests on a simulated clock and for `sagecove dev`."""
