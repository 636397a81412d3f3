"""The settings of one VM's own process: addresses, keys, where things are.

Read from a file of JSON with comments; an environment variable
``RAMPPIN_<NAME>`` goes before the file, and a flag before both.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field
from returns.result import Result

from ramppin.document import Document, read_document, validate_document
from ramppin.errors import SettingsError
from ramppin.router.version.schema import Name

ENV_PREFIX = "RAMPPIN_"
Port = Annotated[int, Field(ge=0, le=65_535)]


class RouterConfig(BaseModel):
    """What one router VM must know to start.

    Attributes:
        vm: the VM's name in the platform's list.
        failure_domain: where it stands.
        host: address that its three listeners use.
        caller_port: for callers; 0 picks a free one.
        operator_port: for operators.
        peer_port: for links between routers.
        log_url: where the append-only log service is.
        vms_url: where the list of VMs is.
        fleet_key: the key of links between routers.
        operator_key: the key of the operators' listener.
        lease_ttl_s: how long a lease lasts; the same on every VM.
        vms_poll_s: time between two reads of the list of VMs.
        load_poll_s: time between two reads of backend servers' load.
        log_wait_s: longest wait of one read at the end of a stream.
        log_poll_min_s: shortest time between two reads of a stream, unless a
            request waits for a record.
        drain_delay_s: time between not ready and the end of listening.
        drain_limit_s: longest time for requests in flight to end.
        max_connections: callers' connections at a time; more are dropped.
        max_requests: callers' requests in flight; more are refused.
        max_body_bytes: largest body of a caller's chat or keyed request.
        body_timeout_s: longest time that a caller may take to send a chat.
        trace_keep: requests whose trace is kept for explanations.
        log_level: of the JSON log lines.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    vm: Name
    failure_domain: Name
    host: str = "127.0.0.1"
    caller_port: Port = 8080
    operator_port: Port = 8081
    peer_port: Port = 8082
    log_url: str
    vms_url: str
    fleet_key: Annotated[str, Field(min_length=8)]
    operator_key: Annotated[str, Field(min_length=8)]
    lease_ttl_s: Annotated[float, Field(gt=0, le=60)] = 1.5
    vms_poll_s: Annotated[float, Field(gt=0)] = 0.5
    load_poll_s: Annotated[float, Field(gt=0)] = 2.0
    log_wait_s: Annotated[float, Field(gt=0, le=30)] = 5.0
    log_poll_min_s: Annotated[float, Field(ge=0, le=5)] = 0.05
    drain_delay_s: Annotated[float, Field(ge=0)] = 2.0
    drain_limit_s: Annotated[float, Field(ge=0)] = 120.0
    max_connections: Annotated[int, Field(ge=1)] = 2000
    max_requests: Annotated[int, Field(ge=1)] = 1000
    max_body_bytes: Annotated[int, Field(ge=1024)] = 2 * 1024 * 1024
    body_timeout_s: Annotated[float, Field(gt=0)] = 10.0
    trace_keep: Annotated[int, Field(ge=1)] = 4096
    log_level: str = "INFO"


def load_config(
    path: Path,
    *,
    env: Mapping[str, str] | None = None,
    flags: Mapping[str, object] | None = None,
) -> Result[RouterConfig, SettingsError]:
    """Read a router's own settings.

    Args:
        path: the file.
        env: environment variables; the process's own if not given.
        flags: values from the command line; None stands for not given.
    """

    def check(document: Document) -> Result[RouterConfig, SettingsError]:
        merged = document | _read_env(os.environ if env is None else env)
        merged |= {k: v for k, v in (flags or {}).items() if v is not None}
        return validate_document(RouterConfig, merged, str(path))

    return read_document(path).bind(check)


def _read_env(env: Mapping[str, str]) -> Document:
    found: Document = {}
    for name in RouterConfig.model_fields:
        value = env.get(f"{ENV_PREFIX}{name.upper()}")
        if value is not None:
            found[name] = value
    return found
