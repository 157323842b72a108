"""One run of an experiment: what identifies it, its scenario and policy, the command that replays it."""

from __future__ import annotations

from msgspec import Struct

from workbench.baselines import PolicyFactory
from workbench.baselines.revisions import load_policy_factory
from workbench.scenario.load import draw, load
from workbench.scenario.model import Scenario

MODULE_POLICY = "module"  # the balancer's own policy, at a revision and with constants of its own
SHORT_REVISION_DIGITS = 12

Constants = tuple[tuple[str, float], ...]


class Task(Struct, frozen=True):
    """One run to make; stored with its result, so the field names are those of the store."""

    scenario: str  # its label, with the grid's values
    source: str
    overrides: tuple[str, ...]
    seed: int
    variant: str
    policy: str
    revision: str
    constants: Constants
    digest: str  # of the scenario with its overrides, and of the policy

    @property
    def key(self) -> tuple[str, str, int, str]:
        """What identifies the run in a store: its primary key."""
        return self.scenario, self.variant, self.seed, self.digest

    def draw_scenario(self) -> Scenario:
        """Returns the scenario with every range replaced by the seed's draw."""
        return draw(load(self.source, list(self.overrides)), self.seed)

    def resolve_policy(self) -> str | PolicyFactory:
        """Returns the policy's name, or the module at the revision and with the constants of the task."""
        if self.policy == MODULE_POLICY and (self.revision or self.constants):
            return load_policy_factory(self.revision, self.constants)
        return self.policy

    def command(self) -> str:
        """Returns the command that replays the run."""
        words = ["workbench simulate", self.source, f"--seed {self.seed}"]
        if self.policy != MODULE_POLICY:
            words.append(f"--policy {self.policy}")
        if self.revision:
            words.append(f"--revision {self.revision[:SHORT_REVISION_DIGITS]}")
        words += [f"--constant {name}={value:g}" for name, value in self.constants]
        words += [f"--set '{override}'" for override in self.overrides]
        return " ".join(words)
