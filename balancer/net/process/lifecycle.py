"""The lifecycle of the node, from its start to its shutdown."""

from __future__ import annotations

from enum import Enum

from balancer.net.process.log import Log


class Stage(Enum):
    """A stage of the lifecycle; its value is what logs and management pages show."""

    STARTING = "starting"  # no server list yet
    SERVING = "serving"
    OUT_OF_SERVICE = "out of service"  # drained by its operators, who may return it
    ENDING = "ending"  # graceful shutdown: there is no way back


class Lifecycle:
    """The stage that the node is in, and the transitions between stages.

    Args:
        log: gets a line for each transition.
    """

    def __init__(self, log: Log) -> None:
        self.log = log
        self.stage = Stage.STARTING
        self.has_server_list = False

    @property
    def serving(self) -> bool:
        """Whether clients should connect."""
        return self.stage == Stage.SERVING

    @property
    def draining(self) -> bool:
        """Whether clients that are connected should go elsewhere."""
        return self.stage in (Stage.OUT_OF_SERVICE, Stage.ENDING)

    def move(self, stage: Stage) -> None:
        """Enters a stage, with a line in the log if it is another one."""
        if stage != self.stage:
            self.log.line(f"stage {self.stage.value} -> {stage.value}")
            self.stage = stage

    def on_server_list(self) -> None:
        """Serves from now on, if the node waited for a first server list."""
        self.has_server_list = True
        if self.stage == Stage.STARTING:
            self.move(Stage.SERVING)

    def take_out_of_service(self) -> bool:
        """Drains the node, which runs on. True always: one that shuts down is draining already."""
        if self.stage != Stage.ENDING:
            self.move(Stage.OUT_OF_SERVICE)
        return True

    def return_to_service(self) -> bool:
        """Takes clients again, as soon as there is a server list. False if the node shuts down."""
        if self.stage == Stage.OUT_OF_SERVICE:
            self.move(Stage.SERVING if self.has_server_list else Stage.STARTING)
        return self.stage != Stage.ENDING

    def shut_down(self) -> None:
        """Begins the graceful shutdown."""
        self.move(Stage.ENDING)
