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
    from ramppin.gateway.process.config import GatewayConfig
    from ramppin.gateway.process.gateway import Gateway
    from ramppin.gateway.process.limits.retrybudget import RetryWindow
    from ramppin.gateway.process.recovery.replica import Replica
    from ramppin.gateway.process.recovery.tables import GatewaySources
    from ramppin.gateway.process.routing.directory import ServerDirectory
    from ramppin.gateway.process.routing.prefixselection import PrefixSelection
    from ramppin.gateway.version.routing import RoutingTable
    from ramppin.ranking import Ranking, RendezvousRanking
    from ramppin.router.process.claims.claims import ClaimTable, HeldClaims
    from ramppin.router.process.config import RouterConfig, load_config
    from ramppin.router.process.membership.leases import LeaseHolder, LeaseTable
    from ramppin.router.process.router import Router
    from ramppin.router.process.routing.allocator import Allocator
    from ramppin.router.process.routing.homes import Homes
    from ramppin.router.process.routing.load import Member, compute_cap
    from ramppin.router.process.routing.queue import FairQueue
    from ramppin.router.request.identity import hash_chat, hash_opening
    from ramppin.router.request.outcome import Outcome
    from ramppin.router.request.placement import (
        Grant,
        PlaceId,
        PlaceRequest,
        Reason,
        Refusal,
    )
    from ramppin.router.version.acceptance import SettingsHistory
    from ramppin.router.version.schema import SettingsTree
    from ramppin.router.version.tree import Settings

_MODULES = {
    "Allocator": "ramppin.router.process.routing.allocator",
    "AppendUnknownError": "ramppin.errors",
    "BrokenAnswerError": "ramppin.errors",
    "ClaimTable": "ramppin.router.process.claims.claims",
    "ConflictError": "ramppin.errors",
    "FairQueue": "ramppin.router.process.routing.queue",
    "Gateway": "ramppin.gateway.process.gateway",
    "GatewayConfig": "ramppin.gateway.process.config",
    "GatewaySources": "ramppin.gateway.process.recovery.tables",
    "Grant": "ramppin.router.request.placement",
    "HeldClaims": "ramppin.router.process.claims.claims",
    "Homes": "ramppin.router.process.routing.homes",
    "LeaseHolder": "ramppin.router.process.membership.leases",
    "LeaseTable": "ramppin.router.process.membership.leases",
    "LogTrimmedError": "ramppin.errors",
    "LogUnavailableError": "ramppin.errors",
    "Member": "ramppin.router.process.routing.load",
    "NotSentError": "ramppin.errors",
    "Outcome": "ramppin.router.request.outcome",
    "PeerNotListedError": "ramppin.errors",
    "PeerUnavailableError": "ramppin.errors",
    "PlaceId": "ramppin.router.request.placement",
    "PlaceRequest": "ramppin.router.request.placement",
    "PrefixSelection": "ramppin.gateway.process.routing.prefixselection",
    "ProtocolError": "ramppin.errors",
    "RamppinError": "ramppin.errors",
    "Ranking": "ramppin.ranking",
    "Reason": "ramppin.router.request.placement",
    "Refusal": "ramppin.router.request.placement",
    "RefusedError": "ramppin.errors",
    "RendezvousRanking": "ramppin.ranking",
    "Replica": "ramppin.gateway.process.recovery.replica",
    "RetryWindow": "ramppin.gateway.process.limits.retrybudget",
    "Router": "ramppin.router.process.router",
    "RouterConfig": "ramppin.router.process.config",
    "RoutingTable": "ramppin.gateway.version.routing",
    "ServerDirectory": "ramppin.gateway.process.routing.directory",
    "Settings": "ramppin.router.version.tree",
    "SettingsError": "ramppin.errors",
    "SettingsHistory": "ramppin.router.version.acceptance",
    "SettingsTree": "ramppin.router.version.schema",
    "compute_cap": "ramppin.router.process.routing.load",
    "hash_chat": "ramppin.router.request.identity",
    "hash_opening": "ramppin.router.request.identity",
    "load_config": "ramppin.router.process.config",
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
