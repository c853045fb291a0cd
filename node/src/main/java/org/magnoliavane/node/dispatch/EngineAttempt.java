package org.magnoliavane.node.dispatch;

/**
 * Describes an attempt as its decode worker knows it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param owner the node run that drives it
 * @param caller the caller and the content that it belongs to, as {@link #toCallerText} writes them
 * @param position the number of tokens generated so far
 */
record EngineAttempt(String owner, String caller, int position) {

    /**
     * Writes the caller and a hash of the content for the engine, which keeps the text as it is. With the hash any node
     * can tell whether a stream answers the request that a caller sends to resume it.
     */
    static String toCallerText(ModelRequest call) {
        return call.caller().name() + "#" + Long.toHexString(call.getContentHash());
    }

    boolean isOfCaller(ModelRequest call) {
        int end = caller.lastIndexOf('#');
        return end >= 0 && caller.substring(0, end).equals(call.caller().name());
    }

    boolean isForContent(ModelRequest call) {
        return caller.equals(toCallerText(call));
    }
}
