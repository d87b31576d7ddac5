"""Memberships, their majorities and their encoding."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import hashlib
from typing import Final

import msgspec

from sycamorestand_consensus.messages import Member
from sycamorestand_consensus.messages import Membership

CLUSTER_ID_BYTES: Final = 8

_DECODER: Final = msgspec.msgpack.Decoder(type=tuple[Member, ...])


def voters(membership: Membership) -> tuple[str, ...]:
    """Return the ids of the voting members."""
    return tuple(m.member_id for m in membership if m.voter)


def find_member(membership: Membership, member_id: str) -> Member | None:
    """Return the member with this id, if there is one."""
    for member in membership:
        if member.member_id == member_id:
            return member
    return None


def majority_value(
    membership: Membership, value_of: Callable[[str], float]
) -> float:
    """Return the highest value that a majority of voters has reached."""
    ids = voters(membership)
    values = sorted((value_of(member_id) for member_id in ids), reverse=True)
    return values[len(ids) // 2]


def with_member(membership: Membership, member: Member) -> Membership:
    """Return the membership with a member added or replaced."""
    others = (m for m in membership if m.member_id != member.member_id)
    return tuple(sorted((*others, member)))


def without_member(membership: Membership, member_id: str) -> Membership:
    """Return the membership without a member."""
    return tuple(m for m in membership if m.member_id != member_id)


def cluster_id(members: Sequence[tuple[str, str]]) -> str:
    """Derive the id of a new group from the ids of its first members.

    So members that are bootstrapped with the same list agree on the id
    without exchanging messages.
    """
    ids = "\n".join(sorted(member_id for member_id, _ in members))
    digest = hashlib.blake2b(ids.encode(), digest_size=CLUSTER_ID_BYTES)
    return digest.hexdigest()


def encode_membership(membership: Membership) -> bytes:
    """Encode a membership as the data of an entry."""
    return msgspec.msgpack.encode(membership)


def decode_membership(data: bytes) -> Membership:
    """Decode the data of a membership entry."""
    return _DECODER.decode(data)


__all__ = [
    "cluster_id",
    "decode_membership",
    "encode_membership",
    "find_member",
    "majority_value",
    "voters",
    "with_member",
    "without_member",
]
