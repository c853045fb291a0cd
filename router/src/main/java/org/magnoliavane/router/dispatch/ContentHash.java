package org.magnoliavane.router.dispatch;

import net.openhft.hashing.LongHashFunction;

/** Identifies requests that are the same but for the attempt. */
final class ContentHash {
    private static final LongHashFunction HASH = LongHashFunction.xx();

    private ContentHash() {}

    static long of(CallerRequest call) {
        return HASH.hashBytes(call.body()) * 31 + HASH.hashChars(call.method() + " " + call.target());
    }
}
