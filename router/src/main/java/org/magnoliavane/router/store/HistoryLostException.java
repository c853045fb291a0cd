package org.magnoliavane.router.store;

import java.io.IOException;

/** Thrown when records were deleted before they were read, so that a new snapshot is needed. */
public final class HistoryLostException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param topic the topic
     * @param from the requested offset
     */
    public HistoryLostException(Topic topic, long from) {
        super("records of " + topic + " from offset " + from + " have been deleted; read a snapshot");
    }
}
