"""The owner's side of a request: checks, then the target beside this node."""

import abc

from auburnrock import errors
from auburnrock import messages
from auburnrock.shells import logs
from auburnrock.targets import base as targets_base


class Admission(abc.ABC):
    """Says whether this node may run work on a shard now."""

    @abc.abstractmethod
    def admit(self, service: str, shard: int) -> int | errors.Failure:
        """The epoch to run at, 0 for a service not divided by key."""

    @abc.abstractmethod
    def begin(self, service: str, shard: int) -> None:
        """Notes that a request on the shard goes to the target."""

    @abc.abstractmethod
    def end(self, service: str, shard: int) -> None:
        """Notes that a request on the shard has left the target."""

    @abc.abstractmethod
    def target(self) -> targets_base.Target | None:
        """The target beside this node; None while there is none."""

    @abc.abstractmethod
    def watermark(self) -> int:
        """The replica's watermark."""


class Executor:
    """Runs requests at the target beside this node.

    Attributes:
      admission: says what may run here.
      incarnation: this node's incarnation.
      event_log: where events go.
    """

    def __init__(
        self,
        admission: Admission,
        incarnation: int,
        event_log: logs.EventLog,
    ):
        self.admission = admission
        self.incarnation = incarnation
        self.event_log = event_log

    async def execute(
        self, request: messages.Request
    ) -> messages.Response | messages.Refusal:
        """Runs one request, or refuses it with the true reason."""
        epoch = self.admission.admit(request.service, request.shard)
        if isinstance(epoch, errors.Failure):
            return self.refuse(request, epoch)
        target = self.admission.target()
        if target is None:
            failure = errors.Failure(
                errors.ErrorKind.NO_TARGET,
                f"no target of {request.service} beside this node",
            )
            return self.refuse(request, failure)
        self.admission.begin(request.service, request.shard)
        try:
            answer = await target.run(_work(request, epoch))
        except targets_base.TargetError as error:
            return self.refuse(request, error.failure)
        finally:
            self.admission.end(request.service, request.shard)
        return messages.Response(
            stream=request.stream,
            request_id=request.request_id,
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
            owner=self.incarnation,
            epoch=epoch,
        )

    def refuse(
        self, request: messages.Request, failure: errors.Failure
    ) -> messages.Refusal:
        """Builds the refusal of a request and logs it."""
        self.event_log.write(
            "request_refused",
            request_id=request.request_id,
            kind=failure.kind.value,
            message=failure.message,
        )
        return messages.Refusal(
            stream=request.stream,
            request_id=request.request_id,
            kind=failure.kind,
            message=failure.message,
            retry_after_ms=failure.retry_after_ms,
            watermark=self.admission.watermark(),
        )


def _work(request: messages.Request, epoch: int) -> targets_base.Work:
    return targets_base.Work(
        request_id=request.request_id,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        key=request.key,
        shard=request.shard,
        epoch=epoch,
        deadline_ms=request.deadline_ms,
    )
