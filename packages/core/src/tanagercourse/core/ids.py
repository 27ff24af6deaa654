"""Distinct types for the ids, versions and paths that cross packages."""

from typing import NewType

CustomerId = NewType("CustomerId", str)
TeamId = NewType("TeamId", str)
ServiceId = NewType("ServiceId", str)
RegionId = NewType("RegionId", str)
ZoneId = NewType("ZoneId", str)
SiteId = NewType("SiteId", str)
InstanceId = NewType("InstanceId", str)
UpstreamId = NewType("UpstreamId", str)
RequestId = NewType("RequestId", str)
IdempotencyKey = NewType("IdempotencyKey", str)

# A path of an object that the platform keeps, such as "/teams/water/services/x".
ObjectPath = NewType("ObjectPath", str)
# The platform's version of an object: it only grows, over all objects together.
Version = NewType("Version", int)
# Names the one writer of a conditional update, so that it can tell its own.
WriterId = NewType("WriterId", str)
# Grows with each start of an instance at the same address.
Incarnation = NewType("Incarnation", int)
# Grows with each holder of a lease; work under an older one is refused.
FencingVersion = NewType("FencingVersion", int)

NO_VERSION = Version(0)

RouteId = NewType("RouteId", str)
# The value that requests concerning the same object share.
AffinityKey = NewType("AffinityKey", str)
# The operator's version of a configuration: it only grows.
ConfigurationVersion = NewType("ConfigurationVersion", int)
