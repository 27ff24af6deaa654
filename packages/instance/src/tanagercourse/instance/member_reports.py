"""Encoding of reports and named members in the messages between instances."""

import zlib
from collections.abc import Iterable
from typing import Annotated, Self

import msgspec
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import InstanceId, ObjectPath, ZoneId
from tanagercourse.instance.members import (
    Capacity,
    Member,
    NamedMember,
    NamedMembers,
    NoMembers,
    Readiness,
    ReportSource,
    Utilization,
    ZoneReport,
)
from tanagercourse.platform.reading import ReadProblem
from tanagercourse.platform.store import Malformed

MAX_NUMBER = 2**40
COMPRESSION_LEVEL = 1

_NonNegative = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_Positive = Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)]


class EncodedNamedMember(msgspec.Struct, array_like=True):
    """The address of a named member and the age of its last report."""

    address: str
    age_ms: _NonNegative


# The named members; None if the relay doesn't know them, unset if machines are alike.
EncodedMembers = list[EncodedNamedMember] | None | msgspec.UnsetType


class _Report(msgspec.Struct, array_like=True):
    """A report; whole numbers, since floating-point ones take 9 bytes each."""

    address: str
    is_ready: bool
    millicores: _Positive
    link_kbps: _Positive
    cpu_permille: _NonNegative
    link_permille: _NonNegative

    @classmethod
    def encode(cls, member: Member) -> Self:
        return cls(
            member.address,
            member.readiness is Readiness.READY,
            max(1, _thousandths(member.capacity.cores)),
            max(1, _thousandths(member.capacity.link_mbps)),
            _thousandths(member.utilization.cpu),
            _thousandths(member.utilization.link),
        )

    def decode(self) -> Member:
        return Member(
            self.address,
            Capacity(self.millicores / 1000, self.link_kbps / 1000),
            Readiness.READY if self.is_ready else Readiness.NOT_READY,
            Utilization(self.cpu_permille / 1000, self.link_permille / 1000),
        )


class _ZoneReport(msgspec.Struct, array_like=True):
    zone: str
    instance: str
    report: _Report
    report_age_ms: _NonNegative
    check_age_ms: _NonNegative


def encode_report(member: Member) -> bytes:
    """Return the body of a check that reports a member."""
    return msgspec.msgpack.encode(_Report.encode(member))


def decode_report(body: bytes) -> Member | None:
    """Return the report of a check, None if it carries none that is readable."""
    if not body:
        return None
    try:
        return msgspec.msgpack.decode(body, type=_Report).decode()
    except msgspec.MsgspecError:
        return None


def encode_named(named: NamedMembers, now_s: float) -> EncodedMembers:
    """Return named members as they are stated to a follower."""
    if named is NoMembers.ALIKE:
        return msgspec.UNSET
    if isinstance(named, NoMembers):
        return None
    return [
        EncodedNamedMember(member.address, _age_ms(member.reported_at_s, now_s))
        for member in named
    ]


def decode_named(members: EncodedMembers, sent_at_s: float) -> NamedMembers:
    """Return the named members that a relay stated.

    Args:
        members: The members.
        sent_at_s: Time of the request, from which ages count, in seconds.
    """
    if isinstance(members, msgspec.UnsetType):
        return NoMembers.ALIKE
    if members is None:
        return NoMembers.UNKNOWN
    return tuple(
        NamedMember(member.address, sent_at_s - member.age_ms / 1000)
        for member in members
    )


def encode_zone_reports(reports: Iterable[ZoneReport], now_s: float) -> bytes:
    """Return reports as they are sent to another relay."""
    encoded = [
        _ZoneReport(
            report.zone,
            report.instance,
            _Report.encode(report.member),
            _age_ms(report.reported_at_s, now_s),
            _age_ms(report.checked_at_s, now_s),
        )
        for report in reports
    ]
    return zlib.compress(msgspec.msgpack.encode(encoded), COMPRESSION_LEVEL)


def decode_zone_reports(
    name: ObjectPath, body: bytes, sent_at_s: float
) -> Result[list[ZoneReport], ReadProblem]:
    """Return the reports that another relay sent.

    Args:
        name: Address of the relay, for problems.
        body: The encoded reports.
        sent_at_s: Time of the request, from which ages count, in seconds.
    """
    try:
        decompressed = zlib.decompress(body)
        encoded = msgspec.msgpack.decode(decompressed, type=list[_ZoneReport])
    except (zlib.error, msgspec.MsgspecError) as error:
        return Failure(Malformed(name, str(error)))
    return Success(
        [
            ZoneReport(
                ZoneId(report.zone),
                InstanceId(report.instance),
                report.report.decode(),
                sent_at_s - report.report_age_ms / 1000,
                sent_at_s - report.check_age_ms / 1000,
                ReportSource.OTHER_RELAY,
            )
            for report in encoded
        ]
    )


def _thousandths(number: float) -> int:
    return round(number * 1000)


def _age_ms(time_s: float, now_s: float) -> int:
    return max(0, round((now_s - time_s) * 1000))
