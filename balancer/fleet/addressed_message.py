"""A message with its receiver, as the fleet's state machines return it for the runtime to send."""

from __future__ import annotations

from typing import Generic, NamedTuple, TypeVar

ReceiverT_co = TypeVar("ReceiverT_co", covariant=True)
MessageT_co = TypeVar("MessageT_co", covariant=True)


class AddressedMessage(NamedTuple, Generic[ReceiverT_co, MessageT_co]):
    """A message to be sent in one datagram.

    Attributes:
        to: The name of the receiving process, or its address.
        message: The message to send.
    """

    to: ReceiverT_co
    message: MessageT_co
