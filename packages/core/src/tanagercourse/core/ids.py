"""Distinct types for the ids, versions and paths used across packages."""

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

# Path of an object in the platform's store, such as "/teams/water/services/x".
ObjectPath = NewType("ObjectPath", str)
# Version that the platform assigns to an object. One counter covers all objects, so
# versions of different objects are comparable, and it never decreases.
Version = NewType("Version", int)
# Unique for each conditional update, so that a writer recognizes its own update when it
# reads the object back.
WriterId = NewType("WriterId", str)
# Increases each time an instance with the same id starts, also at the same address.
Incarnation = NewType("Incarnation", int)
# Fencing token: increases with each holder of a lease. Operations that carry an older
# token are refused.
FencingVersion = NewType("FencingVersion", int)

# Expected version of an object that does not exist yet.
NO_VERSION = Version(0)

RouteId = NewType("RouteId", str)
TenantId = NewType("TenantId", str)
# Secret that identifies the tenant of a request. It is never logged.
ApiKey = NewType("ApiKey", bytes)
# Value shared by all sticky requests that concern the same object.
AffinityKey = NewType("AffinityKey", str)
# Version that the operator assigns to a configuration; it never decreases.
ConfigurationVersion = NewType("ConfigurationVersion", int)
