package org.magnoliavane.node.placement;

import java.util.Optional;
import java.util.OptionalLong;

import org.magnoliavane.BackendServer;
import org.magnoliavane.FaultKind;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.pool.AttemptPhase;
import org.magnoliavane.pool.AttemptProgress;
import org.magnoliavane.pool.PlacementRequest;
import org.magnoliavane.pool.SchedulerDecision;
import org.magnoliavane.protocol.generated.Progress;
import org.magnoliavane.protocol.generated.Refusal;
import org.magnoliavane.protocol.generated.Start;
import org.magnoliavane.protocol.generated.Worker;

/**
 * Converts between placement types and their protocol messages.
 */
final class PlacementMessages {
    private PlacementMessages() {}

    static org.magnoliavane.protocol.generated.PlacementRequest toMessage(PlacementRequest request) {
        return org.magnoliavane.protocol.generated.PlacementRequest.newBuilder()
                .setAttempt(request.attempt())
                .setService(request.service())
                .setModel(request.model())
                .setPartner(request.partner())
                .setZone(request.zone())
                .setPriceClass(request.priceClass())
                .setMicrosPerToken(request.microsPerToken())
                .setPromptTokens(request.promptTokens())
                .setExpectedOutputTokens(request.expectedOutputTokens())
                .setMaxOutputTokens(request.maxOutputTokens())
                .addAllPrefixHashes(request.prefixHashes())
                .setContentHash(request.contentHash())
                .setTtftMillis(request.ttftMillis())
                .setTbtMillis(request.tbtMillis())
                .setMaxWaitMillis(request.maxWaitMillis())
                .setIsolated(request.isolated())
                .build();
    }

    static PlacementRequest toRequest(org.magnoliavane.protocol.generated.PlacementRequest message) {
        return new PlacementRequest(
                message.getAttempt(),
                message.getService(),
                message.getModel(),
                message.getPartner(),
                message.getZone(),
                message.getPriceClass(),
                message.getMicrosPerToken(),
                message.getPromptTokens(),
                message.getExpectedOutputTokens(),
                message.getMaxOutputTokens(),
                message.getPrefixHashesList(),
                message.getContentHash(),
                message.getTtftMillis(),
                message.getTbtMillis(),
                message.getMaxWaitMillis(),
                message.getIsolated());
    }

    static Start toMessage(Grant grant) {
        Placement placement = grant.placement();
        return Start.newBuilder()
                .setPrefillWorker(toMessage(placement.prefillWorker()))
                .setDecodeWorker(toMessage(placement.decodeWorker()))
                .setPieces(placement.pieces())
                .setPriority(placement.priority())
                .setExplanation(grant.explanation())
                .setIsolated(grant.isolated())
                .build();
    }

    static Grant toGrant(PlacementRequest request, Start message) {
        Placement placement = new Placement(
                request.attempt(),
                toServer(request.service(), message.getPrefillWorker(), WorkerRole.PREFILL),
                toServer(request.service(), message.getDecodeWorker(), WorkerRole.DECODE),
                message.getPieces(),
                message.getPriority());
        return new Grant(placement, message.getExplanation(), message.getIsolated());
    }

    static Refusal toMessage(SchedulerDecision.Refuse refusal) {
        Refusal.Builder message =
                Refusal.newBuilder().setKind(refusal.kind().name()).setExplanation(refusal.explanation());
        if (refusal.kind() != FaultKind.POISON) {
            message.setRetryAfterMillis(Math.max(0, refusal.retryAfterMillis()));
        }
        return message.build();
    }

    static SchedulerDecision.Refuse toRefusal(String attempt, Refusal message) {
        FaultKind kind = parseKind(message.getKind());
        return new SchedulerDecision.Refuse(attempt, kind, message.getRetryAfterMillis(), message.getExplanation());
    }

    static Progress toMessage(String service, AttemptProgress progress) {
        return Progress.newBuilder()
                .setService(service)
                .setAttempt(progress.attempt())
                .setPhase(progress.phase().name())
                .setOutputTokens(progress.outputTokens())
                .setCachedTokens(progress.cachedTokens())
                .build();
    }

    /** Converts a progress message; empty when its phase is absent or unknown. */
    static Optional<AttemptProgress> toProgress(Progress message) {
        for (AttemptPhase phase : AttemptPhase.values()) {
            if (phase.name().equals(message.getPhase())) {
                return Optional.of(new AttemptProgress(
                        message.getAttempt(), phase, message.getOutputTokens(), message.getCachedTokens()));
            }
        }
        return Optional.empty();
    }

    /** Finds the time after which a refused request may be retried; empty for a poison request. */
    static OptionalLong findRetryAfterMillis(SchedulerDecision.Refuse refusal) {
        return refusal.kind() == FaultKind.POISON
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(0, refusal.retryAfterMillis()));
    }

    static Worker toMessage(BackendServer server) {
        return Worker.newBuilder()
                .setId(server.id())
                .setRole(server.role().toWire())
                .setHost(server.host())
                .setPort(server.port())
                .setZone(server.zone())
                .build();
    }

    static BackendServer toServer(String service, Worker worker, WorkerRole defaultRole) {
        WorkerRole role = WorkerRole.parse(worker.getRole()).orElse(defaultRole);
        return new BackendServer(
                worker.getId(), service, role, worker.getHost(), worker.getPort(), worker.getZone(), false);
    }

    private static FaultKind parseKind(String name) {
        try {
            return FaultKind.valueOf(name);
        } catch (IllegalArgumentException e) {
            return FaultKind.UNAVAILABLE;
        }
    }
}
