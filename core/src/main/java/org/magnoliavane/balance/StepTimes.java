package org.magnoliavane.balance;

/** Supplies the measured time of a decode step of each worker. Implementations are thread-safe. */
@FunctionalInterface
public interface StepTimes {
    /** No worker has been measured, so no request is kept from a worker for its speed. */
    StepTimes UNKNOWN = worker -> 0;

    /**
     * Gets the time from one output token of a stream to the next.
     *
     * @param worker the worker
     * @return the time in milliseconds; 0 if it is not known
     */
    double getStepMillis(ListedWorker worker);
}
