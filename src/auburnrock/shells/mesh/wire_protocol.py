"""What a node needs to speak with callers, targets and operators."""

import abc

import msgspec

from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import peer_messages
from auburnrock.shells.mesh import http_client
from auburnrock.shells.mesh import http_server


class DecodeError(ValueError):
    """A message that cannot be read; the text says what is wrong."""


class RegistrationCall(msgspec.Struct, frozen=True):
    """A target's call at the control address.

    Attributes:
      target: name of the target.
      deregisters: whether it ends its registration.
    """

    target: str
    deregisters: bool


class WireProtocol(abc.ABC):
    """Translates between the wire and the product's types; decides nothing.

    Attributes:
      operator_prefix: prefix of the operator's keys in the store.
      configuration_key: key of the newest configuration.
      own_prefix: prefix of the keys that nodes may write.
    """

    operator_prefix: str
    configuration_key: str
    own_prefix: str

    @abc.abstractmethod
    def decode_request_head(
        self, request: http_server.Request, caller: str
    ) -> model.RequestHead:
        """Decodes a caller's request; `caller` is the service beside it."""

    @abc.abstractmethod
    def encode_target_request(
        self, run: peer_messages.RunRequest, target: str, left_ms: float
    ) -> bytes:
        """Encodes a request that only `target` may run, and only so long."""

    @abc.abstractmethod
    def matches_attempt(
        self, answer: http_client.Response, attempt: str
    ) -> bool:
        """Whether an answer is not for another request."""

    @abc.abstractmethod
    def classify_response(
        self, answer: http_client.Response, attempt: str
    ) -> model.TargetVerdict:
        """Says what a target's answer is worth."""

    @abc.abstractmethod
    def forwarded_headers(
        self, headers: http_client.Headers
    ) -> http_client.Headers:
        """Headers of a target's answer that go to the caller."""

    @abc.abstractmethod
    def refusal_headers(
        self, attempt: str, retry_after_ms: float
    ) -> http_server.Headers:
        """Headers of an answer that this system gives itself."""

    @abc.abstractmethod
    def is_readiness(self, request: http_server.Request) -> bool:
        """Whether a request asks if this node is ready."""

    @abc.abstractmethod
    def is_metrics(self, request: http_server.Request) -> bool:
        """Whether a request asks for the metrics."""

    @abc.abstractmethod
    def decode_registration_call(
        self, request: http_server.Request
    ) -> RegistrationCall | None:
        """A target's call; None if it is none."""

    @abc.abstractmethod
    def decode_heartbeat(self, target: str, body: bytes) -> model.Heartbeat:
        """Decodes a heartbeat; raises DecodeError."""

    @abc.abstractmethod
    def encode_heartbeat_reply(
        self, reply: model.HeartbeatReply
    ) -> http_server.Response:
        """Encodes the reply to a heartbeat."""

    @abc.abstractmethod
    def decode_configuration(self, value: bytes) -> model.Configuration:
        """Decodes the configuration; raises DecodeError."""

    @abc.abstractmethod
    def load_settings(self) -> model.Settings:
        """Reads the settings file; raises DecodeError."""
