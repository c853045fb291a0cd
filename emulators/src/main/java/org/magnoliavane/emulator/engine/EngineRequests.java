package org.magnoliavane.emulator.engine;

/** Bodies of the requests to an engine and of the transfer between engines. */
final class EngineRequests {
    /** Priority of a request that sets none, in 0 to 9, where 9 is the highest. */
    static final int DEFAULT_PRIORITY = 5;

    private static final int HIGHEST_PRIORITY = 9;

    private EngineRequests() {}

    /** Body of {@code POST /v1/prefills}. */
    record PrefillRequest(String attempt, String model, String prompt, Integer priority) {
        PrefillRequest {
            checkPresent("attempt", attempt);
            checkPresent("model", model);
            checkPresent("prompt", prompt);
            priority = checkPriority(priority);
        }
    }

    /** Identifies a prefill by the address of its worker and its id. */
    record PrefillReference(String host, int port, String id) {
        PrefillReference {
            checkPresent("prefill.host", host);
            checkPresent("prefill.id", id);
        }
    }

    /** Body of {@code POST /v1/decodes}. */
    record DecodeRequest(
            String attempt,
            String model,
            PrefillReference prefill,
            int maxTokens,
            Integer priority,
            int reservePieces,
            String owner,
            String caller) {
        DecodeRequest {
            checkPresent("attempt", attempt);
            checkPresent("model", model);
            checkPresent("prefill", prefill);
            priority = checkPriority(priority);
            if (maxTokens < 1) {
                throw new IllegalArgumentException("max_tokens must be at least 1, got " + maxTokens);
            }
            if (reservePieces < 0) {
                throw new IllegalArgumentException("reserve_pieces must be at least 0, got " + reservePieces);
            }
        }
    }

    /**
     * Body of {@code POST /v1/orders}. The end of validity is in milliseconds since 1970; 0 means that the order never
     * expires.
     */
    record Order(String kind, String model, String version, String role, long fencing, long validUntilMillis) {
        Order {
            checkPresent("kind", kind);
        }
    }

    /** Response to {@code GET /v1/prefills/{id}/kv}. */
    record KvCache(String attempt, String model, String prompt, int promptTokens, int cachedTokens) {}

    /** Body of {@code POST /control}; an absent value leaves the setting unchanged. */
    record Faults(
            Boolean crash,
            String crashMarker,
            String crashPhase,
            Boolean stallTransfers,
            Boolean failTransfers,
            Long loadLagMillis,
            Long cacheEventDelayMillis,
            Double cacheEventDropShare,
            Boolean silent,
            Long freezeMillis,
            Boolean checkFencing) {}

    private static void checkPresent(String name, Object value) {
        if (value == null) {
            throw new IllegalArgumentException(name + " is missing");
        }
    }

    private static int checkPriority(Integer priority) {
        if (priority == null) {
            return DEFAULT_PRIORITY;
        }
        if (priority < 0 || priority > HIGHEST_PRIORITY) {
            throw new IllegalArgumentException("priority must be in 0 to 9, got " + priority);
        }
        return priority;
    }
}
