"""ramppin: a router fleet for very many returning chats.

Coordination parts are plain synchronous state machines that others can embed;
import them from here. Daemons are thin shells around them. Each name is loaded
at its first use, so that a small VM loads only what it runs.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ramppin.errors import (
        AppendUnknownError,
        BrokenAnswerError,
        ConflictError,
        LogTrimmedError,
        LogUnavailableError,
        NotSentError,
        PeerNotListedError,
        PeerUnavailableError,
        ProtocolError,
        RamppinError,
        RefusedError,
        SettingsError,
    )
    from ramppin.process.claims.claims import ClaimTable, HeldClaims
    from ramppin.process.config import RouterConfig, load_config
    from ramppin.process.gateway import Gateway
    from ramppin.process.gatewayconfig import GatewayConfig
    from ramppin.process.limits.retries import RetryWindow
    from ramppin.process.membership.leases import LeaseHolder, LeaseTable
    from ramppin.process.recovery.replica import Replica
    from ramppin.process.recovery.tables import GatewaySources
    from ramppin.process.router import Router
    from ramppin.process.routing.allocator import Allocator
    from ramppin.process.routing.directory import ServerDirectory
    from ramppin.process.routing.homes import Homes
    from ramppin.process.routing.load import Member, compute_cap
    from ramppin.process.routing.queue import FairQueue
    from ramppin.process.routing.selection import PrefixSelection
    from ramppin.request.identity import hash_chat, hash_opening
    from ramppin.request.outcome import Outcome
    from ramppin.request.placement import Grant, PlaceId, PlaceRequest, Reason, Refusal
    from ramppin.request.ranking import Ranking, RendezvousRanking
    from ramppin.version.acceptance import SettingsHistory
    from ramppin.version.routing import RoutingTable
    from ramppin.version.schema import SettingsTree
    from ramppin.version.tree import Settings

_MODULES = {
    "Allocator": "ramppin.process.routing.allocator",
    "AppendUnknownError": "ramppin.errors",
    "BrokenAnswerError": "ramppin.errors",
    "ClaimTable": "ramppin.process.claims.claims",
    "ConflictError": "ramppin.errors",
    "FairQueue": "ramppin.process.routing.queue",
    "Gateway": "ramppin.process.gateway",
    "GatewayConfig": "ramppin.process.gatewayconfig",
    "GatewaySources": "ramppin.process.recovery.tables",
    "Grant": "ramppin.request.placement",
    "HeldClaims": "ramppin.process.claims.claims",
    "Homes": "ramppin.process.routing.homes",
    "LeaseHolder": "ramppin.process.membership.leases",
    "LeaseTable": "ramppin.process.membership.leases",
    "LogTrimmedError": "ramppin.errors",
    "LogUnavailableError": "ramppin.errors",
    "Member": "ramppin.process.routing.load",
    "NotSentError": "ramppin.errors",
    "Outcome": "ramppin.request.outcome",
    "PeerNotListedError": "ramppin.errors",
    "PeerUnavailableError": "ramppin.errors",
    "PlaceId": "ramppin.request.placement",
    "PlaceRequest": "ramppin.request.placement",
    "PrefixSelection": "ramppin.process.routing.selection",
    "ProtocolError": "ramppin.errors",
    "RamppinError": "ramppin.errors",
    "Ranking": "ramppin.request.ranking",
    "Reason": "ramppin.request.placement",
    "Refusal": "ramppin.request.placement",
    "RefusedError": "ramppin.errors",
    "RendezvousRanking": "ramppin.request.ranking",
    "Replica": "ramppin.process.recovery.replica",
    "RetryWindow": "ramppin.process.limits.retries",
    "Router": "ramppin.process.router",
    "RouterConfig": "ramppin.process.config",
    "RoutingTable": "ramppin.version.routing",
    "ServerDirectory": "ramppin.process.routing.directory",
    "Settings": "ramppin.version.tree",
    "SettingsError": "ramppin.errors",
    "SettingsHistory": "ramppin.version.acceptance",
    "SettingsTree": "ramppin.version.schema",
    "compute_cap": "ramppin.process.routing.load",
    "hash_chat": "ramppin.request.identity",
    "hash_opening": "ramppin.request.identity",
    "load_config": "ramppin.process.config",
}

__all__ = [
    "Allocator",
    "AppendUnknownError",
    "BrokenAnswerError",
    "ClaimTable",
    "ConflictError",
    "FairQueue",
    "Gateway",
    "GatewayConfig",
    "GatewaySources",
    "Grant",
    "HeldClaims",
    "Homes",
    "LeaseHolder",
    "LeaseTable",
    "LogTrimmedError",
    "LogUnavailableError",
    "Member",
    "NotSentError",
    "Outcome",
    "PeerNotListedError",
    "PeerUnavailableError",
    "PlaceId",
    "PlaceRequest",
    "PrefixSelection",
    "ProtocolError",
    "RamppinError",
    "Ranking",
    "Reason",
    "Refusal",
    "RefusedError",
    "RendezvousRanking",
    "Replica",
    "RetryWindow",
    "Router",
    "RouterConfig",
    "RoutingTable",
    "ServerDirectory",
    "Settings",
    "SettingsError",
    "SettingsHistory",
    "SettingsTree",
    "compute_cap",
    "hash_chat",
    "hash_opening",
    "load_config",
]


def __getattr__(name: str) -> object:
    """Load a public name at its first use."""
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f"module 'ramppin' has no attribute {name!r}")
    value = getattr(import_module(module), name)
    globals()[name] = value
    return value
