"""Faults of a run on the virtual network, drawn by a seed as widely as the parts allow."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

SEC = 1_000_000


@dataclass(frozen=True)
class Fault:
    """One fault: from `at` for `length` microseconds of true time."""

    type: str
    at: int
    length: int
    who: tuple[str, ...] = ()
    way: str = "both"
    amount: float = 0.0

    def __str__(self) -> str:
        amounts = {"loss": f" {self.amount:.0%}", "late": f" {self.amount / 1e6:.1f} s"}
        amounts["step"] = f" {self.amount:+.0f} s"
        what = self.type + amounts.get(self.type, "") + (f" ({self.way})" if self.type == "cut" else "")
        return f"{self.at / 1e6:6.2f} s for {self.length / 1e6:5.2f} s  {what} {' '.join(self.who)}"


TYPES = ("kill", "kill", "pause", "pause", "cut", "cut", "loss", "late", "step", "leave")


def draw_faults(rng: Random, names: list[str], until: int) -> list[Fault]:
    """Two to nine faults of all kinds that begin before `until`, at once or one after the other."""
    out = []
    for _ in range(rng.randint(2, 9)):
        kind = rng.choice(TYPES)
        many = 1 if kind in ("pause", "leave", "step") or rng.random() < 0.6 else rng.randint(1, len(names))
        amount = 0.0
        if kind == "loss":
            amount = rng.uniform(0.05, 0.6)
        elif kind == "late":
            amount = rng.uniform(0.2, 6.0) * SEC
        elif kind == "step":
            amount = rng.choice((-3600.0, 3600.0, -20.0, 20.0))
        out.append(
            Fault(
                kind,
                rng.randrange(until),
                int(rng.uniform(0.05, 10.0) * SEC),
                tuple(sorted(rng.sample(names, many))),
                rng.choice(("both", "out", "in")),
                amount,
            )
        )
    return sorted(out, key=lambda f: f.at)
