"""Command groups that are implemented in modules of their own, loaded only when used."""

COMMAND_MODULES = {
    "sweep": "sagecove.sweeps.commands",
    "template": "sagecove.sweeps.commands",
    "lab": "sagecove.lab.commands",
}
