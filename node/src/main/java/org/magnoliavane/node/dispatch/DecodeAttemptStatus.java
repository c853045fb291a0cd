package org.magnoliavane.node.dispatch;

/**
 * Describes the status of an attempt at its decode worker.
 *
 * <p>Immutable and thread-safe.
 *
 * @param owner the node run that owns it
 * @param caller the caller and the hash of the content, in the form of {@link #toCallerText}
 * @param position the number of tokens generated so far
 */
record DecodeAttemptStatus(String owner, String caller, int position) {

    /**
     * Returns the caller and the hash of the content as a string that the engine stores unchanged. The hash lets any
     * node check that a stream belongs to the request with which a caller resumes it.
     */
    static String toCallerText(ModelRequest modelRequest) {
        return modelRequest.caller().name() + "#" + Long.toHexString(modelRequest.getContentHash());
    }

    /** Returns whether the attempt belongs to the caller of a request. */
    boolean belongsToCaller(ModelRequest modelRequest) {
        int end = caller.lastIndexOf('#');
        return end >= 0 && caller.substring(0, end).equals(modelRequest.caller().name());
    }

    /** Returns whether the attempt belongs to the caller and the content of a request. */
    boolean matchesContent(ModelRequest modelRequest) {
        return caller.equals(toCallerText(modelRequest));
    }
}
