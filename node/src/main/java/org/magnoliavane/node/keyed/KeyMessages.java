package org.magnoliavane.node.keyed;

import java.util.Optional;
import java.util.OptionalLong;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import org.magnoliavane.ExecutionStatus;
import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.NodeRun;
import org.magnoliavane.protocol.generated.Answer;
import org.magnoliavane.protocol.generated.FaultMessage;
import org.magnoliavane.protocol.generated.KeyCall;
import org.magnoliavane.protocol.generated.KeyResult;

/**
 * Converts requests with an idempotency key and their results to and from peer messages.
 */
final class KeyMessages {
    private KeyMessages() {}

    static KeyCall toMessage(PlainRequest request, NodeRun owner, boolean claimed) {
        return KeyCall.newBuilder()
                .setRequest(request.id())
                .setCaller(request.caller())
                .setService(request.service())
                .setMethod(request.method())
                .setPath(request.path())
                .putAllHeaders(request.headers())
                .setBody(ByteString.copyFrom(request.body()))
                .setKey(request.idempotencyKey().orElse(""))
                .setIdempotent(request.idempotent())
                .setTimeoutMillis(request.timeoutMillis())
                .setOwner(owner.toString())
                .setClaimed(claimed)
                .build();
    }

    static PlainRequest toRequest(KeyCall message) {
        return new PlainRequest(
                message.getRequest(),
                message.getCaller(),
                message.getService(),
                message.getMethod(),
                message.getPath(),
                message.getHeadersMap(),
                message.getBody().toByteArray(),
                Optional.of(message.getKey()),
                message.getIdempotent(),
                message.getTimeoutMillis());
    }

    static KeyResult toMessage(Either<Fault, PlainResponse> result) {
        return result.fold(
                fault -> KeyResult.newBuilder().setFault(toMessage(fault)).build(),
                response ->
                        KeyResult.newBuilder().setAnswer(toMessage(response)).build());
    }

    static Either<Fault, PlainResponse> toResult(KeyResult message) {
        if (message.hasAnswer()) {
            Answer answer = message.getAnswer();
            return Either.right(new PlainResponse(
                    answer.getStatus(), answer.getHeadersMap(), answer.getBody().toByteArray()));
        }
        FaultMessage fault = message.getFault();
        OptionalLong retryAfter =
                fault.hasRetryAfterMillis() ? OptionalLong.of(fault.getRetryAfterMillis()) : OptionalLong.empty();
        return Either.left(new Fault(
                parse(FaultKind.class, fault.getKind(), FaultKind.INTERNAL),
                parse(ExecutionStatus.class, fault.getRan(), ExecutionStatus.UNKNOWN),
                fault.getMessage(),
                fault.getRemedy(),
                retryAfter));
    }

    private static FaultMessage toMessage(Fault fault) {
        FaultMessage.Builder message = FaultMessage.newBuilder()
                .setKind(fault.kind().name())
                .setRan(fault.ran().name())
                .setMessage(fault.message())
                .setRemedy(fault.remedy());
        fault.retryAfterMillis().ifPresent(message::setRetryAfterMillis);
        return message.build();
    }

    private static Answer toMessage(PlainResponse response) {
        return Answer.newBuilder()
                .setStatus(response.status())
                .putAllHeaders(response.headers())
                .setBody(ByteString.copyFrom(response.body()))
                .build();
    }

    private static <E extends Enum<E>> E parse(Class<E> type, String name, E fallback) {
        try {
            return Enum.valueOf(type, name);
        } catch (IllegalArgumentException e) {
            return fallback;
        }
    }
}
