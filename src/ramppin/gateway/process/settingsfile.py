"""Settings of one gateway process in ramppin's own file format.

The file is JSON with comments; see examples/gateway.jsonc.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field
from returns.result import Result

from ramppin.document import read_document, validate_document
from ramppin.errors import SettingsError
from ramppin.gateway.process.config import Address, GatewayConfig

BYTES_PER_MB = 1_000_000

Port = Annotated[int, Field(ge=0, le=65_535)]


class GatewayFile(BaseModel):
    """Contents of a gateway's settings file.

    Attributes:
        vm: name of the VM.
        failure_domain: the failure domain in which it runs.
        host: address of its listeners.
        caller_port: port for callers; 0 picks a free one.
        readiness_port: port for the load balancer's probe, ``GET /ready``.
        operations_port: port for metrics, state and explanations.
        peer_port: port for datagrams from other VMs.
        records_port: port for record requests of peers that can't reach the log.
        tables: file with routing settings and backend servers, relative to the
            directory of this file.
        memory_mb: memory that the process may use, in MB. Together with overload
            control it enables the memory budget.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    vm: str
    failure_domain: str = ""
    host: str = "127.0.0.1"
    caller_port: Port = 8080
    readiness_port: Port = 0
    operations_port: Port = 0
    peer_port: Port = 0
    records_port: Port = 0
    tables: Path
    memory_mb: float | None = Field(default=None, gt=0)

    def build_config(self) -> GatewayConfig:
        """Return the gateway's configuration."""
        return GatewayConfig(
            vm=self.vm,
            failure_domain=self.failure_domain,
            callers=Address(self.host, self.caller_port),
            readiness=Address(self.host, self.readiness_port),
            peers=Address(self.host, self.peer_port),
            records=Address(self.host, self.records_port),
            operations=Address(self.host, self.operations_port),
            memory_limit_bytes=_to_bytes(self.memory_mb),
        )


def _to_bytes(megabytes: float | None) -> int | None:
    return None if megabytes is None else int(megabytes * BYTES_PER_MB)


def load_gateway_file(path: Path) -> Result[GatewayFile, SettingsError]:
    """Read a gateway's settings; ``tables`` is relative to the file's directory."""

    def resolve_tables(found: GatewayFile) -> GatewayFile:
        tables = path.parent / found.tables
        return found.model_copy(update={"tables": tables})

    return (
        read_document(path)
        .bind(lambda document: validate_document(GatewayFile, document, str(path)))
        .map(resolve_tables)
    )
