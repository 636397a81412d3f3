"""A gateway process with a memory limit: ``python -m features.memory_vm FILE``.

Its own configuration enables overload control and its routing settings disable it, so
that only the memory budget applies. Sockets to callers have small send buffers, as on a
network: on the loopback device the kernel would take whole answers.
"""

from __future__ import annotations

import signal
import socket
import sys
from dataclasses import replace
from pathlib import Path

from ramppin.clock import run
from ramppin.gateway.process.gateway import Gateway
from ramppin.gateway.process.overload.rules import OverloadRules
from ramppin.gateway.process.recovery.filetables import (
    ROUTING_PART,
    SERVERS_PART,
    FileTable,
    LocalTable,
)
from ramppin.gateway.process.recovery.tables import GatewaySources
from ramppin.gateway.process.reporting.decisions import DecisionLog
from ramppin.gateway.process.settingsfile import load_gateway_file
from ramppin.gateway.version.routingfile import TreeDecoder
from ramppin.signals import handle_signal

SEND_BUFFER_BYTES = 32_768


async def serve(path: Path) -> None:
    found = load_gateway_file(path).unwrap()
    config = replace(found.build_config(), overload=OverloadRules(enabled=True))
    sources = GatewaySources(
        settings=FileTable(found.tables, ROUTING_PART),
        servers=FileTable(found.tables, SERVERS_PART),
        members=LocalTable(),
        homes=LocalTable(),
        builds=LocalTable(),
        origins=LocalTable(),
        decoder=TreeDecoder(),
    )
    callers = socket.create_server((config.callers.host, 0), backlog=1024)
    callers.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    callers.setblocking(False)
    decisions = DecisionLog(found.vm)
    gateway = Gateway(config, sources, decisions, callers_socket=callers)
    await gateway.start()
    ports = f"callers={gateway.caller_port} operations={gateway.operations_port}"
    print(ports, file=sys.stderr, flush=True)
    handle_signal(signal.SIGTERM, gateway.start_drain)
    await gateway.stopped.wait()


if __name__ == "__main__":
    run(serve(Path(sys.argv[1])))
