"""The operators' target size and bounds, and the assumptions that the tests add to them."""

from __future__ import annotations

NODES = 390
WORKERS = 2_500
REQUESTS_PER_S = 1_500.0
TOKENS_PER_S = 530_000.0
FIRST_TOKEN_S = 1.6
TOKEN_GAP_S = 0.078
MODELS = 130
ADAPTERS = 12_000
CLASSES = MODELS + ADAPTERS
LOADS_PER_HOUR = 6_400
REGIONS = 6
ZONES = 13
CHANGES_PER_DAY = 1_500
IN_FORCE_S = 7.0
CONTROL_CORE_SHARE = 0.014
CONTROL_MEMORY_MB = 32.0
CONTROL_BYTES_PER_S = 16_000.0
CONTROL_MACHINES = 8
FAILURES_PER_DAY = 44
RESTARTS_PER_DAY = 520
SECONDS_PER_DAY = 86_400
APART_S = 3_600  # longest partition between regions

# Assumptions, since the operators' page does not specify these; taken from the two known deployments.
HEARTBEAT_S = 1.2
MODELS_PER_WORKER = 3  # 230 GB of memory for weights of 72.7 GB each
ADAPTERS_PER_WORKER = 8
TOKENS_PER_EVENT = 4
FEW_CONTROL = 1  # control nodes of a simulated fleet, since all processes share one machine
ROUTES = 130  # one per model
EDGE_PULL_S = 1.0  # `dataplane.puller.POLL_S`
REPORT_INTERVAL_S = 0.5  # `dataplane.node.MAINTENANCE_INTERVAL_S`

WORKER_SIZES = (250, 1_000, 2_500, 5_000, 10_000)
EDGE_SIZES = (30, 100, 200, 390)
