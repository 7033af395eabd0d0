"""Names of the platform: headers, paths, store keys, environment variables."""

SETTINGS_VARIABLE = "AUBURNROCK_CONFIG"

# The caller's id of one attempt; a retry by the caller has another id.
ATTEMPT_ID = b"auburnrock-attempt-id"
# The caller's timeout, in milliseconds from when it sent the request.
DEADLINE = b"auburnrock-deadline-ms"
# The only target that may execute the request; others respond with 421.
TARGET = b"auburnrock-target-instance"
# Id of the target that gave a response.
TARGET_ID = b"auburnrock-instance-id"
# Service of the host on which the request originated, not of the process that
# called this node.
CALLER = b"auburnrock-caller-service"
# The key of a request to a service that is divided by key.
KEY = b"auburnrock-shard-key"
# The target's signature of its response.
SIGNATURE = b"auburnrock-response-seal"
# Present if the target did not execute the request.
NOT_EXECUTED = b"auburnrock-not-executed"
# Requests per second that the target takes from all hosts together.
LIMIT = b"server-limit"
# Present with the value 1 if the target leaves.
LEAVING = b"server-leaving"
# Running requests, waiting requests and slots of the target, and on some hosts
# how long work takes at this moment (100 as usual), separated by commas.
LOAD = b"auburnrock-server-load"
# Number of restores of the store; present in all its responses.
ERA = b"store-era"

READINESS_PATH = b"/auburnrock/readiness"
TARGETS_PATH = b"/auburnrock/instances/"
METRICS_PATH = b"/metrics"

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
# Followed by the name of a zone whose targets must receive no requests.
EVACUATION_PREFIX = "op/evacuate/"
SYSTEM_PREFIX = "auburnrock/"
# Followed by an era: a node of this system has made changes in that era.
ERA_PREFIX = "auburnrock/e/"
