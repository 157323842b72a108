"""The one state of the node, from its start to its end."""

from __future__ import annotations

from enum import Enum

from balancer.net.process.log import Log


class Stage(Enum):
    """Where the node stands."""

    STARTING = "starting"  # no server list yet
    SERVING = "serving"
    OUT = "out of service"  # emptied by its operators; the way back is open
    ENDING = "ending"  # told to end: there is no way back


class Lifecycle:
    """Moves between the stages. What asks for one that stands already is a yes."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self.stage = Stage.STARTING
        self.listed = False

    @property
    def serving(self) -> bool:
        """Whether clients should come."""
        return self.stage == Stage.SERVING

    @property
    def leaving(self) -> bool:
        """Whether clients that are here should go."""
        return self.stage in (Stage.OUT, Stage.ENDING)

    def move(self, stage: Stage) -> None:
        if stage != self.stage:
            self.log.line(f"stage {self.stage.value} -> {stage.value}")
            self.stage = stage

    def list_came(self) -> None:
        """There is a server list: a node that waited for it serves."""
        self.listed = True
        if self.stage == Stage.STARTING:
            self.move(Stage.SERVING)

    def take_out(self) -> bool:
        """Whether the node empties itself from now on."""
        if self.stage != Stage.ENDING:
            self.move(Stage.OUT)
        return True

    def take_back(self) -> bool:
        """Whether the node takes clients from now on, or as soon as it has a list."""
        if self.stage == Stage.OUT:
            self.move(Stage.SERVING if self.listed else Stage.STARTING)
        return self.stage != Stage.ENDING

    def end(self) -> None:
        """The node has been told to end."""
        self.move(Stage.ENDING)
