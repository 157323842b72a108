"""An instance's view of the group, indexed so that no operation of the protocol iterates over all of it."""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from dataclasses import dataclass
from hashlib import blake2b

from balancer.fleet.membership.claims import Address, Claim, Status

BUCKETS = 32  # of members by the hash of their names; a view's digest has a number for each
ALL_BUCKETS = (1 << BUCKETS) - 1
MAX_CLAIM_OVERHEAD_BYTES = 18  # beside name and host: lengths, port, status, incarnation


@dataclass
class Member:
    """The state of another member.

    Attributes:
        claim: The claim that prevails.
        since: When that claim was accepted.
        bucket: The member's bucket.
        fingerprint: Hash of its name and incarnation, for the digest.
    """

    claim: Claim
    since: int
    bucket: int
    fingerprint: int

    @property
    def gone(self) -> bool:
        """Whether the member is dead or has left."""
        return self.claim.status >= Status.DEAD


@dataclass(frozen=True, slots=True)
class ClaimPage:
    """Claims that fit into a datagram, and whether they are the last ones."""

    claims: list[Claim]
    is_last: bool


class View:
    """This instance's own claim and the state of the other members.

    The digest covers the living members and their incarnations. A suspicion doesn't change it, since it is
    transient while being disseminated; nor does a member that is gone, since instances forget it at different
    times.
    """

    def __init__(self, me: Claim) -> None:
        self.me = me
        self.members: dict[str, Member] = {}
        self.living: list[str] = []  # sorted names of the members that aren't gone
        self.by_address: dict[Address, str] = {}  # living members
        self.order: list[tuple[int, str]] = []  # sorted pairs of bucket and name
        self.digests = [0] * BUCKETS

    def put(self, claim: Claim, now: int) -> None:
        """Replaces the state of a claim's member."""
        previous = self.members.get(claim.name)
        if previous is None:
            member = Member(claim, now, bucket_of(claim.name), fingerprint_of(claim))
            insort(self.order, (member.bucket, claim.name))
        else:
            same = claim.incarnation == previous.claim.incarnation
            fingerprint = previous.fingerprint if same else fingerprint_of(claim)
            member = Member(claim, now, previous.bucket, fingerprint)
        self.members[claim.name] = member
        was_living = previous is not None and not previous.gone
        if previous is not None and was_living:
            self.remove_from_indexes(previous)
        if not member.gone:
            self.add_to_indexes(member)
        if was_living and member.gone:
            del self.living[bisect_left(self.living, claim.name)]
        elif not was_living and not member.gone:
            insort(self.living, claim.name)

    def add_to_indexes(self, member: Member) -> None:
        """Adds a living member to the digest and the addresses."""
        self.digests[member.bucket] ^= member.fingerprint
        self.by_address[member.claim.address] = member.claim.name

    def remove_from_indexes(self, member: Member) -> None:
        """Removes a living member from the digest and the addresses."""
        self.digests[member.bucket] ^= member.fingerprint
        if self.by_address.get(member.claim.address) == member.claim.name:
            del self.by_address[member.claim.address]

    def forget(self, name: str) -> Claim:
        """Removes a member that is gone, and returns the last claim about it."""
        member = self.members.pop(name)
        del self.order[bisect_left(self.order, (member.bucket, name))]
        return member.claim

    def digest(self) -> tuple[int, ...]:
        """Returns a number for each bucket.

        It is equal in two views that contain the same living members, including their owners.
        """
        digests = list(self.digests)
        digests[bucket_of(self.me.name)] ^= fingerprint_of(self.me)
        return tuple(digests)

    def differing(self, digest: tuple[int, ...]) -> int:
        """Returns the buckets, as a bit mask, in which another digest differs from this view's."""
        pairs = zip(self.digest(), digest, strict=True)
        return sum(1 << bucket for bucket, (mine, other) in enumerate(pairs) if mine != other)

    def page(self, buckets: int, after: str, capacity: int) -> ClaimPage:
        """Returns as many claims as fit, in the order of `sort_key`.

        The order is the same in each view, so the next page may come from another member.

        Args:
            buckets: The buckets to take claims from, as a bit mask.
            after: The member that the page follows; empty for the first page.
            capacity: Bytes available for claims.
        """
        claims: list[Claim] = []
        position = bisect_right(self.order, sort_key(after))
        while position < len(self.order):
            bucket, name = self.order[position]
            if not buckets >> bucket & 1:
                position = bisect_left(self.order, (bucket + 1, ""))
                continue
            claim = self.members[name].claim
            capacity -= claim_size(claim)
            if capacity < 0:
                return ClaimPage(claims, is_last=False)
            claims.append(claim)
            position += 1
        return ClaimPage(claims, is_last=True)

    def wrapping_page(self, after: str, capacity: int) -> list[Claim]:
        """Returns a page of all buckets that continues with the first member after the last one.

        In a small group it contains all members. The arguments are those of `page`.
        """
        page = self.page(ALL_BUCKETS, after, capacity)
        if not page.is_last:
            return page.claims
        remaining_bytes = capacity - sum(map(claim_size, page.claims))
        end = sort_key(after)
        first = self.page(ALL_BUCKETS, "", remaining_bytes)
        return page.claims + [claim for claim in first.claims if sort_key(claim.name) <= end]


def bucket_of(name: str) -> int:
    """Returns a member's bucket, which is the same in each view."""
    return blake2b(name.encode(), digest_size=1).digest()[0] % BUCKETS


def sort_key(name: str) -> tuple[int, str]:
    """Returns the key that members are ordered by; that of the empty name precedes all others."""
    return (bucket_of(name), name) if name else (-1, "")


def fingerprint_of(claim: Claim) -> int:
    """Returns a living member's contribution to its bucket's digest."""
    return int.from_bytes(blake2b(f"{claim.incarnation} {claim.name}".encode(), digest_size=4).digest())


def claim_size(claim: Claim) -> int:
    """Returns the maximum number of bytes that a claim occupies in a datagram."""
    return len(claim.name.encode()) + len(claim.address[0].encode()) + MAX_CLAIM_OVERHEAD_BYTES
