"""The lifecycle of the node, from its start to its shutdown."""

from __future__ import annotations

from enum import Enum

from balancer.net.process.log import Log


class Stage(Enum):
    """A stage of the lifecycle; logs and management pages show its value.

    Attributes:
        STARTING: The node has no server list yet.
        SERVING: The node accepts clients.
        OUT_OF_SERVICE: Operators have drained the node and may return it to service.
        ENDING: The node is shutting down, which cannot be undone.
    """

    STARTING = "starting"
    SERVING = "serving"
    OUT_OF_SERVICE = "out of service"
    ENDING = "ending"


class Lifecycle:
    """The current stage of the node and the transitions between stages.

    Args:
        log: Receives a line for each transition.
    """

    def __init__(self, log: Log) -> None:
        self.log = log
        self.stage = Stage.STARTING
        self.has_server_list = False

    @property
    def is_serving(self) -> bool:
        """Whether clients should connect."""
        return self.stage == Stage.SERVING

    @property
    def is_draining(self) -> bool:
        """Whether connected clients should move to another node."""
        return self.stage in (Stage.OUT_OF_SERVICE, Stage.ENDING)

    def enter(self, stage: Stage) -> None:
        """Enter a stage and log the transition; entering the current stage does nothing."""
        if stage != self.stage:
            self.log.line(f"stage {self.stage.value} -> {stage.value}")
            self.stage = stage

    def on_server_list(self) -> None:
        """Start serving if the node was waiting for its first server list."""
        self.has_server_list = True
        if self.stage == Stage.STARTING:
            self.enter(Stage.SERVING)

    def take_out_of_service(self) -> bool:
        """Drain the node, unless it is shutting down.

        Returns:
            Always True, since a node that is shutting down is draining already.
        """
        if self.stage != Stage.ENDING:
            self.enter(Stage.OUT_OF_SERVICE)
        return True

    def return_to_service(self) -> bool:
        """Return a drained node to service, or to STARTING if it has no server list yet.

        Returns:
            False if the node is shutting down, which cannot be undone.
        """
        if self.stage == Stage.OUT_OF_SERVICE:
            self.enter(Stage.SERVING if self.has_server_list else Stage.STARTING)
        return self.stage != Stage.ENDING

    def shut_down(self) -> None:
        """Start the graceful shutdown."""
        self.enter(Stage.ENDING)
