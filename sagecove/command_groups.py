"""Nouns of the command line that features bring, and the modules that have their verbs."""

COMMAND_MODULES = {
    "sweep": "sagecove.sweeps.commands",
    "template": "sagecove.sweeps.commands",
    "lab": "sagecove.lab.commands",
}
