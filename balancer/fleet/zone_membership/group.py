"""What membership by zone uses of the SWIM group of its own zone."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from balancer.fleet.membership.swim import Address, Claim


class GroupMember(Protocol):
    """Another member of the group."""

    @property
    def claim(self) -> Claim:
        """The member's latest claim, which has its address."""


class Group(Protocol):
    """The zone's SWIM group as this node sees it."""

    @property
    def me(self) -> Claim:
        """This node."""

    @property
    def members(self) -> Mapping[str, GroupMember]:
        """The other members by name, dead ones included."""

    def alive(self) -> list[str]:
        """Returns the names of the other members that count as alive."""


def address_of(group: Group, name: str) -> Address:
    """Returns the address of a member of the group or of this node."""
    return group.me.address if name == group.me.name else group.members[name].claim.address
