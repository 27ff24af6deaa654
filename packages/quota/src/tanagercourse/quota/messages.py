"""Messages between holders and granters, in MessagePack, one in each datagram."""

from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import InstanceId, TenantId
from tanagercourse.core.problems import InvalidField

# Maximum number of tenants in a query; an answer may add some for standby rates.
MAX_TENANTS = 40
MAX_NUMBER = 2**62
MAX_COUNT = 1_000_000

_Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


class Need(msgspec.Struct, array_like=True, frozen=True):
    """What a holder asks for a tenant.

    Attributes:
        wanted: Number of tokens.
        used_per_100_s: Recent use in 100 s, which the standby rate follows.
    """

    wanted: _Count
    used_per_100_s: _Count = 0


class Query(msgspec.Struct, array_like=True, tag=0, frozen=True):
    """A holder's query.

    Attributes:
        number: Increases with each query of the holder; starts at a random number.
        confirmed: Number of the newest answer that the holder has from this granter.
        holder: Id of the holder.
        needs: What it asks for each tenant; empty to measure the round trip.
    """

    number: _Number
    confirmed: _Number
    holder: InstanceId
    needs: dict[TenantId, Need]


class Grant(msgspec.Struct, array_like=True, frozen=True):
    """What a granter grants for a tenant.

    Attributes:
        count: Number of tokens.
        wait_ms: Time after which a token is likely, in milliseconds, if less was
            granted than wanted.
        standby_per_100_s: Standby rate: requests in 100 s.
    """

    count: _Count
    wait_ms: _Count = 0
    standby_per_100_s: _Count = 0


class Answer(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """A granter's answer to one query.

    Attributes:
        number: Number of the query.
        grants: The grant for each tenant, including all standby rates of the holder.
    """

    number: _Number
    grants: dict[TenantId, Grant]


Message = Query | Answer

encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Message)


def decode(datagram: bytes) -> Result[Message, InvalidField]:
    """Decode a datagram; a malformed one is a problem and changes nothing."""
    try:
        return Success(_decoder.decode(datagram))
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        return Failure(InvalidField("datagram", "content", str(error), "a message"))
