"""Stand-ins for what sagecove meets, for stories on a fake clock and for `sagecove dev`."""
