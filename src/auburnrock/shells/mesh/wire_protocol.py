"""Interface to the wire protocol of callers, targets and operators."""

import abc

import msgspec

from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import peer_messages
from auburnrock.shells.mesh import http_client
from auburnrock.shells.mesh import http_server

DECODER_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""What msgspec raises for bytes that it cannot decode; the last one if they are
nested too deeply."""


class DecodeError(ValueError):
    """The error of a message that cannot be decoded; the text says why."""


class RegistrationCall(msgspec.Struct, frozen=True):
    """A target's registration call at the control address.

    Attributes:
      target: name of the target.
      deregisters: whether the call ends the target's registration.
    """

    target: str
    deregisters: bool


class WireProtocol(abc.ABC):
    """Encodes and decodes messages; makes no decisions.

    Attributes:
      operator_prefix: prefix of the operator's keys in the store.
      configuration_key: key of the newest configuration in the store.
      evacuation_prefix: prefix of the keys of evacuated zones in the store; the
        zone's name follows it.
      own_prefix: prefix of the keys in the store that nodes may write.
    """

    operator_prefix: str
    configuration_key: str
    evacuation_prefix: str
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
        """Encodes a request that only `target` may run, within `left_ms`."""

    @abc.abstractmethod
    def matches_attempt(
        self, answer: http_client.Response, attempt: str
    ) -> bool:
        """Whether a response does not belong to another request."""

    @abc.abstractmethod
    def names_attempt(self, answer: http_client.Response, attempt: str) -> bool:
        """Whether a response certainly belongs to this attempt."""

    @abc.abstractmethod
    def classify_response(
        self, answer: http_client.Response, attempt: str
    ) -> model.TargetVerdict:
        """Classifies a target's response."""

    @abc.abstractmethod
    def decode_notice(self, answer: http_client.Response) -> model.TargetNotice:
        """Decodes what a target says of itself in a response."""

    @abc.abstractmethod
    def target_of(self, answer: http_client.Response) -> str:
        """Returns the id of the target that gave a response, or ""."""

    @abc.abstractmethod
    def forwarded_headers(
        self, headers: http_client.Headers
    ) -> http_client.Headers:
        """Returns the headers of a target's response to send to the caller."""

    @abc.abstractmethod
    def refusal_headers(
        self, attempt: str, retry_after_ms: float
    ) -> http_server.Headers:
        """Returns the headers of a response that the node itself generates."""

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
        """Decodes a target's registration call; None for other requests."""

    @abc.abstractmethod
    def decode_heartbeat(self, target: str, body: bytes) -> model.Heartbeat:
        """Decodes a heartbeat.

        Raises:
          DecodeError: it is invalid.
        """

    @abc.abstractmethod
    def encode_heartbeat_reply(
        self, reply: model.HeartbeatReply
    ) -> http_server.Response:
        """Encodes the reply to a heartbeat."""

    @abc.abstractmethod
    def decode_configuration(self, value: bytes) -> model.Configuration:
        """Decodes a configuration.

        Raises:
          DecodeError: it is invalid.
        """

    @abc.abstractmethod
    def load_settings(self) -> model.Settings:
        """Reads the settings file.

        Raises:
          DecodeError: the file is invalid.
        """
