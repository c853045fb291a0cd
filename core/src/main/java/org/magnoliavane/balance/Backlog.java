package org.magnoliavane.balance;

/**
 * Requests of one urgency that wait for capacity of a service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the name of the service
 * @param urgency the rank in the order of admission; 0 is the most urgent
 * @param requests the number of requests
 * @param tokens the number of tokens that the requests need together
 */
public record Backlog(String service, int urgency, int requests, long tokens) {

    /**
     * Adds another backlog of the same service and urgency.
     *
     * @param other the other backlog
     * @return the sum
     */
    public Backlog plus(Backlog other) {
        return new Backlog(service, urgency, requests + other.requests, tokens + other.tokens);
    }
}
