package org.magnoliavane.emulator.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.magnoliavane.emulator.CommandOptions;
import org.magnoliavane.emulator.engine.EngineRequests.DecodeRequest;
import org.magnoliavane.emulator.engine.EngineRequests.KvCache;
import org.magnoliavane.emulator.engine.EngineRequests.Order;
import org.magnoliavane.emulator.engine.EngineRequests.PrefillReference;
import org.magnoliavane.emulator.engine.EngineRequests.PrefillRequest;
import org.magnoliavane.emulator.http.ErrorResponse;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class EngineModelTest {
    private static final PrefillReference PREFILL_REFERENCE = new PrefillReference("127.0.0.1", 1, "p");

    private final List<Prefill> finished = new ArrayList<>();
    private long nowMicros;

    @Test
    public void aPrefillTakesTheFixedTimeAndTheTimeOfItsTokens() {
        EngineModel engine = createEngine("--role", "prefill");
        prefill(engine, "a", "x".repeat(4 * 1000), 5);
        assertEquals(engine.getNextEventMicros(0), 0);
        engine.advance(0);
        advance(engine, 104_999);
        assertEquals(finished.size(), 0);
        advance(engine, 105_000);
        assertEquals(finished.size(), 1);
    }

    @Test
    public void waitingPrefillsStartInOrderOfPriority() {
        EngineModel engine = createEngine("--role", "prefill");
        prefill(engine, "running", "x".repeat(4000), 0);
        prefill(engine, "low", "y".repeat(4000), 1);
        prefill(engine, "high", "z".repeat(4000), 9);
        advance(engine, 1_000_000);
        assertEquals(finished.stream().map(done -> done.attempt).toList(), List.of("running", "high", "low"));
    }

    @Test
    public void cachedPiecesTakeNoTimeAndTheOldestAreEvictedFirst() {
        EngineModel engine =
                createEngine("--role", "prefill", "--cache-pieces", "2", "--cache-event-delay-millis", "100");
        prefill(engine, "a", "x".repeat(8192 * 2), 5);
        advance(engine, 500_000);
        prefill(engine, "b", "x".repeat(8192 * 2), 5);
        advance(engine, 505_000);
        assertEquals(finished.get(1).cachedTokens, 4096);
        prefill(engine, "c", "y".repeat(8192), 5);
        advance(engine, 800_000);
        assertEquals(engine.getCacheEventsAfter(0, nowMicros).events().size(), 2);
        advance(engine, 900_000);
        List<CacheEvents.Event> events =
                engine.getCacheEventsAfter(0, nowMicros).events();
        assertEquals(events.get(3).kind(), CacheEvents.EVICTED);
        assertEquals(events.get(3).prefix(), events.get(1).prefix());
    }

    /** Guards against memory that is not freed when a result expires. */
    @Test
    public void aResultThatIsNotFetchedExpiresAndItsTokensCountAsWasted() {
        EngineModel engine = createEngine("--role", "prefill");
        prefill(engine, "a", "x".repeat(4000), 5);
        advance(engine, 904_999);
        assertEquals(engine.getCounters().piecesInUse(), 1);
        advance(engine, 905_000);
        assertEquals(engine.getCounters().prefillsLapsed(), 1);
        assertEquals(engine.getCounters().prefillTokensWasted(), 1000);
        assertEquals(engine.getCounters().piecesInUse(), 0);
        assertTrue(
                engine.startTransfer(finished.get(0).id, sent -> {}, nowMicros).isLeft());
    }

    @Test
    public void aCancelledPrefillCountsOnlyItsComputedTokensAsWasted() {
        EngineModel engine = createEngine("--role", "prefill", "--prefill-fixed-millis", "0");
        prefill(engine, "a", "x".repeat(4000), 5);
        advance(engine, 50_000);
        assertTrue(engine.cancel("a", nowMicros));
        assertFalse(engine.cancel("a", nowMicros));
        assertEquals(engine.getCounters().prefillTokensWasted(), 500);
        assertEquals(engine.getCounters().piecesInUse(), 0);
    }

    @Test
    public void transfersQueueOnTheLinkAndDoNotExpireThere() {
        EngineModel engine = createEngine("--role", "prefill", "--link-tokens-per-second", "1000");
        prefill(engine, "a", "x".repeat(4000), 5);
        prefill(engine, "b", "y".repeat(4000), 5);
        advance(engine, 210_000);
        List<Long> sentMicros = new ArrayList<>();
        finished.forEach(done -> engine.startTransfer(done.id, sent -> sentMicros.add(nowMicros), nowMicros));
        advance(engine, 1_210_000);
        assertEquals(sentMicros.size(), 1);
        engine.getLink().setStalled(true, nowMicros);
        advance(engine, 9_000_000);
        assertEquals(sentMicros.size(), 1);
        engine.getLink().setStalled(false, nowMicros);
        advance(engine, 10_000_000);
        assertEquals(sentMicros.size(), 2);
        assertEquals(engine.getCounters().prefillsTransferred(), 2);
        assertEquals(engine.getCounters().prefillTokensWasted(), 0);
        assertEquals(engine.getCounters().piecesInUse(), 0);
    }

    @Test
    public void aStepTakesTheBaseTimeAndATimeForEachStream() {
        EngineModel engine = createEngine("--role", "decode");
        RecordedOutput one = decode(engine, "a", "one", 10, 1);
        advance(engine, 20_500);
        assertEquals(one.tokens.size(), 1);
        RecordedOutput two = decode(engine, "b", "two", 10, 1);
        advance(engine, 41_000);
        assertEquals(two.tokens.size(), 0);
        advance(engine, 62_000);
        assertEquals(two.tokens.size(), 1);
        assertEquals(one.tokens.size(), 3);
    }

    @Test
    public void anAnswerHasEveryPositionOnceAndTheHashOfItsPrompt() {
        EngineModel engine = createEngine("--role", "decode");
        RecordedOutput output = decode(engine, "a", "my prompt max_output=3", 10, 1);
        advance(engine, 1_000_000);
        String check = TokenText.computeCheck("my prompt max_output=3");
        assertEquals(output.tokens, List.of(" w1:" + check, " w2:" + check, " w3:" + check));
        assertEquals(output.end, "stop 6 3");
        assertEquals(engine.getCounters().piecesInUse(), 0);
        assertEquals(TokenText.computeCheck("u: check=0123abcd\n"), "0123abcd");
        assertTrue(check.matches("[0-9a-f]{8}"));
    }

    /** Guards against a stream that grows beyond the free memory. */
    @Test
    public void aStreamThatOutgrowsTheMemoryStallsUntilPiecesAreFree() {
        EngineModel engine = createEngine("--role", "decode", "--pieces", "3");
        RecordedOutput growing = decode(engine, "grows", "x".repeat(4 * 2040), 20, 1);
        decode(engine, "other", "y", 1000, 2);
        advance(engine, 300_000);
        assertEquals(growing.tokens.size(), 8);
        assertEquals(engine.getCounters().streamsByState().get("stalled"), 1);
        assertTrue(engine.cancel("other", nowMicros));
        advance(engine, 700_000);
        assertEquals(growing.tokens.size(), 20);
        assertEquals(engine.getCounters().piecesInUse(), 0);
    }

    @Test
    public void aReservationWithoutFreePiecesIsRejected() {
        EngineModel engine = createEngine("--role", "decode", "--pieces", "3");
        decode(engine, "a", "x", 10, 2);
        Either<ErrorResponse, DecodeStream> rejected = engine.submitDecode(createDecodeRequest("b", 10, 2), nowMicros);
        assertEquals(rejected.getLeft().kind(), "memory_full");
        assertEquals(engine.getCounters().piecesInUse(), 2);
    }

    @Test
    public void aDetachedStreamContinuesAndHoldsItsMemoryUntilItIsReadToTheEnd() {
        EngineModel engine = createEngine("--role", "decode");
        RecordedOutput first = decode(engine, "a", "x", 10, 2);
        advance(engine, 50_000);
        DecodeStream stream = engine.getDecodes().find("a").orElseThrow();
        engine.getDecodes().detach(stream, stream.reader);
        advance(engine, 60_000_000);
        assertEquals(first.tokens.size(), 2);
        assertEquals(engine.getCounters().piecesInUse(), 2);
        RecordedOutput second = resume(engine, "a", 2);
        assertEquals(second.tokens.get(0), " w3:" + TokenText.computeCheck("x"));
        assertEquals(second.tokens.size(), 8);
        assertEquals(second.end, "length 1 10");
        assertEquals(engine.getCounters().piecesInUse(), 0);
    }

    /** Guards against losing the end of an answer, whose last bytes may be lost with an unresponsive connection. */
    @Test
    public void aStreamCanBeReadAgainForATimeAfterItsEnd() {
        EngineModel engine = createEngine("--role", "decode");
        decode(engine, "a", "x", 2, 1);
        advance(engine, 1_000_000);
        assertEquals(resume(engine, "a", 1).tokens.size(), 1);
        assertFalse(engine.cancel("a", nowMicros));
        assertTrue(engine.getDecodes().attach("a", 0, Optional.empty()).isLeft());
    }

    @Test
    public void resumingAStreamReplacesItsConnectionAndItsOwner() {
        EngineModel engine = createEngine("--role", "decode");
        RecordedOutput first = decode(engine, "a", "x", 10, 2);
        resume(engine, "a", 0);
        assertTrue(first.closed);
        assertEquals(engine.getDecodes().find("a").orElseThrow().owner, "entry-2.7");
    }

    @Test
    public void aStreamWithoutOutputSendsCommentsAndACancelledStreamAnError() {
        EngineModel engine = createEngine("--role", "decode");
        RecordedOutput output = new RecordedOutput();
        DecodeStream stream =
                engine.submitDecode(createDecodeRequest("a", 10, 2), 0).get();
        engine.getDecodes().setReader(stream, output, 0, 0);
        for (int millis = 0; millis <= 1600; millis += 10) {
            advance(engine, millis * 1000L);
        }
        assertEquals(output.comments, 4);
        assertTrue(engine.cancel("a", nowMicros));
        assertEquals(output.end, "cancelled");
        assertEquals(engine.getCounters().piecesInUse(), 0);
    }

    @Test
    public void anOutdatedFencingTokenIsRejectedIfTheEngineChecksIt() {
        assertEquals(applyOrdersWithFencingTokens("true"), List.of("ok", "stale_fencing", "ok", "expired_order"));
        assertEquals(applyOrdersWithFencingTokens("false"), List.of("ok", "ok", "ok", "expired_order"));
    }

    @Test
    public void ordersChangeRoleAndModels() {
        EngineModel engine = createEngine("--role", "decode");
        engine.applyOrder(new Order("set_role", null, null, "prefill", 1, 0), 0);
        engine.applyOrder(new Order("load_model", "m2", "3", null, 2, 0), 0);
        assertEquals(
                engine.submitDecode(createDecodeRequest("a", 1, 1), 0).getLeft().kind(), "wrong_role");
        PrefillRequest request = new PrefillRequest("a", "m2", "x", 5);
        assertEquals(engine.submitPrefill(request, done -> {}, 0).getLeft().kind(), "unknown_model");
        engine.finishLoading("m2", "3", true);
        assertTrue(engine.submitPrefill(request, done -> {}, 0).isRight());
    }

    /** Guards against a load report that shows the current state although a lag is set. */
    @Test
    public void aLoadReportIsDelayedByTheLag() {
        EngineModel engine = createEngine("--role", "decode", "--load-lag-millis", "200");
        advance(engine, 0);
        decode(engine, "a", "x", 1000, 5);
        advance(engine, 190_000);
        assertEquals(engine.getLoad(nowMicros).freePieces(), 64);
        advance(engine, 260_000);
        assertEquals(engine.getLoad(nowMicros).freePieces(), 59);
    }

    private List<String> applyOrdersWithFencingTokens(String checked) {
        EngineModel engine = createEngine("--role", "decode", "--check-fencing", checked);
        List<Order> orders = List.of(
                new Order("unload_model", "m", null, null, 7, 0),
                new Order("unload_model", "m", null, null, 6, 0),
                new Order("unload_model", "m", null, null, 7, 0),
                new Order("unload_model", "m", null, null, 8, 1));
        return orders.stream()
                .map(order ->
                        engine.applyOrder(order, 0).map(ErrorResponse::kind).orElse("ok"))
                .toList();
    }

    private EngineModel createEngine(String... arguments) {
        nowMicros = 0;
        finished.clear();
        EngineOptions options = CommandOptions.parse(new EngineOptions(), arguments);
        return new EngineModel(options, "p", () -> 1000 + nowMicros / 1000, () -> {});
    }

    /** Advances the clock from event to event, as the thread of the emulator does. */
    private void advance(EngineModel engine, long toMicros) {
        while (engine.getNextEventMicros(nowMicros) < toMicros) {
            nowMicros = Math.max(nowMicros, engine.getNextEventMicros(nowMicros));
            engine.advance(nowMicros);
        }
        nowMicros = toMicros;
        engine.advance(nowMicros);
    }

    private void prefill(EngineModel engine, String attempt, String prompt, int priority) {
        engine.submitPrefill(new PrefillRequest(attempt, "model-a", prompt, priority), finished::add, nowMicros);
    }

    private static DecodeRequest createDecodeRequest(String attempt, int maxTokens, int pieces) {
        return new DecodeRequest(attempt, "model-a", PREFILL_REFERENCE, maxTokens, 5, pieces, "entry-1.5", "caller");
    }

    private RecordedOutput decode(EngineModel engine, String attempt, String prompt, int maxTokens, int pieces) {
        DecodeStream stream = engine.submitDecode(createDecodeRequest(attempt, maxTokens, pieces), nowMicros)
                .get();
        RecordedOutput output = new RecordedOutput();
        engine.getDecodes().setReader(stream, output, 0, nowMicros);
        int tokens = org.magnoliavane.pool.TokenCount.of(prompt);
        engine.getDecodes().importKv(stream, new KvCache(attempt, "model-a", prompt, tokens, 0), nowMicros);
        return output;
    }

    private RecordedOutput resume(EngineModel engine, String attempt, int from) {
        DecodeStream stream = engine.getDecodes()
                .attach(attempt, from, Optional.of("entry-2.7"))
                .get();
        RecordedOutput output = new RecordedOutput();
        engine.getDecodes().setReader(stream, output, from, nowMicros);
        return output;
    }
}
