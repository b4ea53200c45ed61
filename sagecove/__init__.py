"""A cluster scheduler whose controllers compete for work through leases.

Importing the package has no side effects; the program's entry point is `sagecove.cli:main`.
"""

__version__ = "0.1.0"
