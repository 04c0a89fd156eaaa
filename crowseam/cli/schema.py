"""JSON Schemas of files and request bodies, generated from the structs that decode them."""

from typing import Any

import msgspec
from msgspec import Struct

from crowseam.cli.file_formats import DeployFile, SettingsFile
from crowseam.configuration.specs import LimitsSpec, Meta, RouteSpec, ServiceSpec, TenantSpec


class RouteItem(Struct, tag_field="type", tag="routes"):
    """A route."""

    meta: Meta
    spec: RouteSpec


class ServiceItem(Struct, tag_field="type", tag="svcs"):
    """A service."""

    meta: Meta
    spec: ServiceSpec


class TenantItem(Struct, tag_field="type", tag="tenants"):
    """A tenant."""

    meta: Meta
    spec: TenantSpec


class LimitsItem(Struct, tag_field="type", tag="limits"):
    """The limits."""

    spec: LimitsSpec
    meta: Meta = Meta()


Item = RouteItem | ServiceItem | TenantItem | LimitsItem


class Whole(Struct):
    """A whole configuration, as put and as read back."""

    ver: str
    parent: str
    objs: list[Item]


class Upsert(Struct):
    """Items to add, or to replace by name."""

    objs: list[Item] = []


class Patch(Struct):
    """A change of named items; `remove` holds lists of names by type."""

    ver: str
    parent: str
    upsert: Upsert = msgspec.field(default_factory=Upsert)
    remove: dict[str, list[str]] = {}


SCHEMAS = {"config": Whole, "patch": Patch, "settings": SettingsFile, "deploy": DeployFile}


def schema_of(name: str) -> dict[str, Any]:
    """Return the JSON Schema of an entry of SCHEMAS."""
    return {"$schema": "https://json-schema.org/draft/2020-12/schema"} | msgspec.json.schema(SCHEMAS[name])
