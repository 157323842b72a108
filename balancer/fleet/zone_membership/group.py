"""The interface of the own zone's SWIM group that membership by zone depends on."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from balancer.fleet.membership.swim import Address, Claim


class GroupMember(Protocol):
    """Another member of the group."""

    @property
    def claim(self) -> Claim:
        """The member's latest claim, which contains its address."""


class Group(Protocol):
    """This node's view of the zone's SWIM group."""

    @property
    def local_claim(self) -> Claim:
        """This node's own claim."""

    @property
    def members(self) -> Mapping[str, GroupMember]:
        """The other members by name, including dead ones."""

    def alive(self) -> list[str]:
        """Return the names of the other members that are considered alive."""


def address_of(group: Group, name: str) -> Address:
    """Return the address of a member of the group or of this node."""
    return group.local_claim.address if name == group.local_claim.name else group.members[name].claim.address
