"""Names of the platform: headers, paths, keys and environment."""

SETTINGS_VARIABLE = "AUBURNROCK_CONFIG"

# The caller's id of one attempt; a repeat of the caller has another.
ATTEMPT_ID = b"auburnrock-attempt-id"
# How long the caller waits, in milliseconds from when it sent the request.
DEADLINE = b"auburnrock-deadline-ms"
# The only target that may run the request; another answers 421.
TARGET = b"auburnrock-target-instance"
# Service of the host on which the request began, not of who calls this node.
CALLER = b"auburnrock-caller-service"
# The key of a request to a service that is divided by key.
KEY = b"auburnrock-shard-key"
# The target's signature of its answer.
SIGNATURE = b"auburnrock-response-seal"
# The target did not run the request.
NOT_EXECUTED = b"auburnrock-not-executed"
# Counts how often the store was restored; in all its answers.
ERA = b"store-era"

READINESS_PATH = b"/auburnrock/readiness"
TARGETS_PATH = b"/auburnrock/instances/"
METRICS_PATH = b"/metrics"

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
SYSTEM_PREFIX = "auburnrock/"
# Followed by an era: the system has made changes in it.
ERA_PREFIX = "auburnrock/e/"
