"""Task of an experiment: one run, with its identity, scenario, policy and replay command."""

from __future__ import annotations

from msgspec import Struct

from workbench.baselines import PolicyFactory
from workbench.baselines.revisions import load_policy_factory
from workbench.scenario.load import draw, load
from workbench.scenario.model import Scenario

# Name of the balancer's own policy, which can be loaded at a revision and with changed constants.
MODULE_POLICY = "module"
SHORT_REVISION_DIGITS = 12

Constants = tuple[tuple[str, float], ...]


class Task(Struct, frozen=True):
    """One run of a variant; it is stored with its result, so the field names are part of the stored format.

    Attributes:
        scenario: Label of the scenario, with the grid's values.
        source: Scenario file or name of a shipped scenario.
        overrides: Changed keys of the scenario, each as KEY=VALUE.
        seed: Seed of the scenario's draw.
        variant: Name of the variant.
        policy: Name of the policy.
        revision: Full name of the policy module's revision; empty for the working tree.
        constants: Changed constants of the policy module, sorted by name.
        digest: Digest of the scenario with its overrides and of the policy.
    """

    scenario: str
    source: str
    overrides: tuple[str, ...]
    seed: int
    variant: str
    policy: str
    revision: str
    constants: Constants
    digest: str

    @property
    def key(self) -> tuple[str, str, int, str]:
        """The primary key of the run in a store."""
        return self.scenario, self.variant, self.seed, self.digest

    def draw_scenario(self) -> Scenario:
        """Return the scenario with every range replaced by the value that the seed draws."""
        return draw(load(self.source, list(self.overrides)), self.seed)

    def resolve_policy(self) -> str | PolicyFactory:
        """Return the policy's name, or the policy module at the task's revision and with its constants."""
        if self.policy == MODULE_POLICY and (self.revision or self.constants):
            return load_policy_factory(self.revision, self.constants)
        return self.policy

    def command(self) -> str:
        """Return the command that replays the run."""
        words = ["workbench simulate", self.source, f"--seed {self.seed}"]
        if self.policy != MODULE_POLICY:
            words.append(f"--policy {self.policy}")
        if self.revision:
            words.append(f"--revision {self.revision[:SHORT_REVISION_DIGITS]}")
        words += [f"--constant {name}={value:g}" for name, value in self.constants]
        words += [f"--set '{override}'" for override in self.overrides]
        return " ".join(words)
