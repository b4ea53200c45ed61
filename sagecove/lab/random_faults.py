"""Random faults for histories of the lab: controllers end, machines are lost or cut off."""

from random import Random

from sagecove.lab.deployment import LEASE_S
from sagecove.lab.world import World


class RandomFaults:
    """Causes faults in a world, drawn from a history's random numbers."""

    def __init__(self, world: World, random: Random) -> None:
        self.world = world
        self.random = random
        world.dead_nodes_refuse = True

    def cause_one(self) -> None:
        """Cause one fault of any kind."""
        self.random.choice([self.end_controller, self.lose_machine, self.cut_machine])()

    def end_controller(self) -> None:
        """End a controller, and start it again soon or after its lease has run out."""
        world = self.world
        if len(world.owners) < 2:
            return
        name = self.random.choice(list(world.owners))
        world.kill_node(name)
        delay_s = self.random.choice([0.5, 3.0, 2 * LEASE_S])
        world.call_later(delay_s, lambda: world.start_node(int(name[1:])))

    def lose_machine(self) -> None:
        """Let a machine lose its power for good; the cloud lists it until it is deleted."""
        if not self.world.workers:
            return
        name = self.random.choice(list(self.world.workers))
        worker = self.world.workers.pop(name)
        worker.dead, worker.tasks = True, {}

    def cut_machine(self) -> None:
        """Cut a machine off for some seconds."""
        if not self.world.workers:
            return
        worker = self.random.choice(list(self.world.workers.values()))
        worker.isolated = worker.direct_commands_blocked = True
        self.world.call_later(self.random.choice([3.0, 1.5 * LEASE_S]), worker.reconnect)
