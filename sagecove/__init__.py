"""sagecove, a cluster scheduler whose controllers compete for work through leases.

Importing the package has no side effects; `sagecove.cli:main` is the program.
"""

__version__ = "0.1.0"
