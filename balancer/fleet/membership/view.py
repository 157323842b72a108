"""An instance's view of the group, indexed so that no protocol operation iterates over all members."""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from dataclasses import dataclass
from hashlib import blake2b

from balancer.fleet.membership.claims import Address, Claim, Status

# Members are divided into buckets by the hash of their names; a view has a digest for each bucket.
BUCKETS = 32
ALL_BUCKETS = (1 << BUCKETS) - 1
# Maximum size in a datagram of the parts of a claim other than name and host: lengths, port, status and
# incarnation.
MAX_CLAIM_OVERHEAD_BYTES = 18


@dataclass
class Member:
    """The state of another member.

    Attributes:
        claim: The claim about the member that takes precedence.
        accepted_at: Time in microseconds at which that claim was accepted.
        bucket: Index of the member's bucket.
        fingerprint: Hash of the member's name and incarnation; the digest of a bucket combines these hashes.
    """

    claim: Claim
    accepted_at: int
    bucket: int
    fingerprint: int

    @property
    def is_dead_or_left(self) -> bool:
        """Whether the member is dead or has left the group."""
        return self.claim.status >= Status.DEAD


@dataclass(frozen=True, slots=True)
class ClaimPage:
    """Claims that fit into a datagram, and whether they are the last ones of the requested buckets."""

    claims: list[Claim]
    is_last: bool


class View:
    """This instance's claim about itself and the state of the other members.

    A view has a digest for each bucket, a group of members by the hash of their names. The digest covers the
    living members and their incarnations. Suspicions are excluded because they are transient while being
    disseminated. Members that are dead or have left are excluded because instances forget them at different
    times.

    Attributes:
        living_names: Sorted names of the other members that are alive or suspect.
        names_by_address: Names of the living members by address.
        sorted_keys: Sorted pairs of bucket and name of all other members.
    """

    def __init__(self, local_claim: Claim) -> None:
        self.local_claim = local_claim
        self.members: dict[str, Member] = {}
        self.living_names: list[str] = []
        self.names_by_address: dict[Address, str] = {}
        self.sorted_keys: list[tuple[int, str]] = []
        self.bucket_digests = [0] * BUCKETS

    def put(self, claim: Claim, now: int) -> None:
        """Replace the state of the member that a claim is about, and update the indexes."""
        previous = self.members.get(claim.name)
        if previous is None:
            member = Member(claim, now, bucket_of(claim.name), fingerprint_of(claim))
            insort(self.sorted_keys, (member.bucket, claim.name))
        else:
            is_same_incarnation = claim.incarnation == previous.claim.incarnation
            fingerprint = previous.fingerprint if is_same_incarnation else fingerprint_of(claim)
            member = Member(claim, now, previous.bucket, fingerprint)
        self.members[claim.name] = member
        was_living = previous is not None and not previous.is_dead_or_left
        if previous is not None and was_living:
            self.remove_from_indexes(previous)
        if not member.is_dead_or_left:
            self.add_to_indexes(member)
        if was_living and member.is_dead_or_left:
            del self.living_names[bisect_left(self.living_names, claim.name)]
        elif not was_living and not member.is_dead_or_left:
            insort(self.living_names, claim.name)

    def add_to_indexes(self, member: Member) -> None:
        """Add a living member to the digest of its bucket and to the index by address."""
        self.bucket_digests[member.bucket] ^= member.fingerprint
        self.names_by_address[member.claim.address] = member.claim.name

    def remove_from_indexes(self, member: Member) -> None:
        """Remove a living member from the digest of its bucket and from the index by address."""
        self.bucket_digests[member.bucket] ^= member.fingerprint
        if self.names_by_address.get(member.claim.address) == member.claim.name:
            del self.names_by_address[member.claim.address]

    def forget(self, name: str) -> Claim:
        """Remove a member that is dead or has left, and return the last claim about it."""
        member = self.members.pop(name)
        del self.sorted_keys[bisect_left(self.sorted_keys, (member.bucket, name))]
        return member.claim

    def digest(self) -> tuple[int, ...]:
        """Return the digest of each bucket.

        The digests of two views are equal if both contain the same living members in the same incarnations,
        where each view includes its own instance.
        """
        bucket_digests = list(self.bucket_digests)
        bucket_digests[bucket_of(self.local_claim.name)] ^= fingerprint_of(self.local_claim)
        return tuple(bucket_digests)

    def differing_buckets(self, digest: tuple[int, ...]) -> int:
        """Return a bit mask of the buckets in which another digest differs from that of this view."""
        pairs = zip(self.digest(), digest, strict=True)
        return sum(1 << bucket for bucket, (local, remote) in enumerate(pairs) if local != remote)

    def page(self, buckets: int, start_after: str, capacity: int) -> ClaimPage:
        """Return the claims about the members of some buckets, as many as fit, in the order of `sort_key`.

        The order is the same in all views, so the next page may be requested from another member.

        Args:
            buckets: The buckets to take claims from, as a bit mask.
            start_after: Name of the member after which the page starts; empty for the first page.
            capacity: Number of bytes available for claims.
        """
        claims: list[Claim] = []
        position = bisect_right(self.sorted_keys, sort_key(start_after))
        while position < len(self.sorted_keys):
            bucket, name = self.sorted_keys[position]
            if not buckets >> bucket & 1:
                position = bisect_left(self.sorted_keys, (bucket + 1, ""))
                continue
            claim = self.members[name].claim
            capacity -= claim_size(claim)
            if capacity < 0:
                return ClaimPage(claims, is_last=False)
            claims.append(claim)
            position += 1
        return ClaimPage(claims, is_last=True)

    def wrapping_page(self, start_after: str, capacity: int) -> list[Claim]:
        """Return a page of claims from all buckets that wraps around at the last member.

        In a small group the page contains all members. The arguments are the same as those of `page`.
        """
        page = self.page(ALL_BUCKETS, start_after, capacity)
        if not page.is_last:
            return page.claims
        remaining_bytes = capacity - sum(map(claim_size, page.claims))
        end = sort_key(start_after)
        first_page = self.page(ALL_BUCKETS, "", remaining_bytes)
        return page.claims + [claim for claim in first_page.claims if sort_key(claim.name) <= end]


def bucket_of(name: str) -> int:
    """Return the index of a member's bucket, which is the same in all views."""
    return blake2b(name.encode(), digest_size=1).digest()[0] % BUCKETS


def sort_key(name: str) -> tuple[int, str]:
    """Return the key by which members are sorted; the key of the empty name precedes all others."""
    return (bucket_of(name), name) if name else (-1, "")


def fingerprint_of(claim: Claim) -> int:
    """Return a hash of a member's name and incarnation, its contribution to the digest of its bucket."""
    return int.from_bytes(blake2b(f"{claim.incarnation} {claim.name}".encode(), digest_size=4).digest())


def claim_size(claim: Claim) -> int:
    """Return the maximum number of bytes that a claim occupies in a datagram."""
    return len(claim.name.encode()) + len(claim.address[0].encode()) + MAX_CLAIM_OVERHEAD_BYTES
