"""Adapter between the platform's protocol and the router's types."""

import os
import pathlib

from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import peer_messages
from auburnrock.platform import codec
from auburnrock.platform import configuration
from auburnrock.platform import heartbeats
from auburnrock.platform import names
from auburnrock.platform import requests
from auburnrock.platform import settings
from auburnrock.shells.mesh import http_client
from auburnrock.shells.mesh import http_server
from auburnrock.shells.mesh import wire_protocol


class PlatformProtocol(wire_protocol.WireProtocol):
    """Protocol of the platform's callers, targets and operators."""

    operator_prefix = names.OPERATOR_PREFIX
    configuration_key = names.CONFIGURATION_KEY
    evacuation_prefix = names.EVACUATION_PREFIX
    own_prefix = names.SYSTEM_PREFIX

    def decode_request_head(
        self, request: http_server.Request, caller: str
    ) -> model.RequestHead:
        """Decodes the head of a caller's request."""
        return requests.decode_request_head(request, caller)

    def encode_target_request(
        self, run: peer_messages.RunRequest, target: str, left_ms: float
    ) -> bytes:
        """Encodes a request for the only target that may execute it."""
        return requests.encode_target_request(run, target, left_ms)

    def matches_attempt(
        self, answer: http_client.Response, attempt: str
    ) -> bool:
        """Whether a response echoes the id of this attempt, or no id."""
        return requests.matches_attempt(answer, attempt)

    def names_attempt(self, answer: http_client.Response, attempt: str) -> bool:
        """Whether a response echoes the id of this attempt."""
        return requests.names_attempt(answer, attempt)

    def classify_response(
        self, answer: http_client.Response, attempt: str
    ) -> model.TargetVerdict:
        """Classifies a target's response."""
        return requests.classify_response(answer, attempt)

    def decode_notice(self, answer: http_client.Response) -> model.TargetNotice:
        """Decodes what a target says of itself in a response."""
        return requests.decode_notice(answer)

    def target_of(self, answer: http_client.Response) -> str:
        """Returns the id of the target that gave a response, or ""."""
        return requests.target_of(answer)

    def forwarded_headers(
        self, headers: http_client.Headers
    ) -> http_client.Headers:
        """Returns the headers of a response that the caller receives."""
        return requests.forwarded_headers(headers)

    def refusal_headers(
        self, attempt: str, retry_after_ms: float
    ) -> http_server.Headers:
        """Returns the headers of a response that the router generates."""
        return requests.refusal_headers(attempt, retry_after_ms)

    def is_readiness(self, request: http_server.Request) -> bool:
        """Whether a request is the readiness check."""
        return request.path == names.READINESS_PATH

    def is_metrics(self, request: http_server.Request) -> bool:
        """Whether a request asks for the metrics."""
        return request.path == names.METRICS_PATH

    def decode_registration_call(
        self, request: http_server.Request
    ) -> wire_protocol.RegistrationCall | None:
        """Decodes a request to the control address.

        Returns None if it is not a target's registration or deregistration.
        """
        if not request.path.startswith(names.TARGETS_PATH):
            return None
        if request.method not in (b"PUT", b"DELETE"):
            return None
        target = request.path.removeprefix(names.TARGETS_PATH)
        return wire_protocol.RegistrationCall(
            target.decode("latin-1"), request.method == b"DELETE"
        )

    def decode_heartbeat(self, target: str, body: bytes) -> model.Heartbeat:
        """Decodes a target's heartbeat."""
        return heartbeats.decode(target, body)

    def encode_heartbeat_reply(
        self, reply: model.HeartbeatReply
    ) -> http_server.Response:
        """Encodes the reply to a heartbeat."""
        return http_server.Response(
            200, codec.BODY_HEADERS, heartbeats.encode_reply(reply)
        )

    def decode_configuration(self, value: bytes) -> model.Configuration:
        """Decodes the operator's configuration."""
        return configuration.decode(value)

    def load_settings(self) -> model.Settings:
        """Reads the settings file that the environment variable names.

        Raises:
          PlatformDecodeError: the variable is not set, or the file cannot be
            read or decoded.
        """
        path = os.environ.get(names.SETTINGS_VARIABLE)
        if not path:
            raise codec.PlatformDecodeError(
                f"{names.SETTINGS_VARIABLE} is not set; it must hold the path"
                " of the settings file"
            )
        try:
            data = pathlib.Path(path).read_bytes()
        except OSError as error:
            raise codec.PlatformDecodeError(
                f"settings file: {error}"
            ) from error
        return settings.decode(data)
