package org.magnoliavane.router.dispatch;

import org.magnoliavane.routing.RequestKind;

/**
 * Starts the run of each request.
 *
 * <p>Thread-safe.
 */
public final class Dispatcher {
    private final DispatchContext parts;

    /**
     * Creates a dispatcher.
     *
     * @param parts what the runs use
     */
    public Dispatcher(DispatchContext parts) {
        this.parts = parts;
    }

    /**
     * Starts to work on a request.
     *
     * @param call the request
     * @param answer takes its answer
     */
    public void dispatch(CallerRequest call, CallerResponse answer) {
        String service = call.route().pickService(parts.random().getAsDouble());
        Run run = call.route().kind() == RequestKind.STREAM
                ? new StreamRun(parts, call, service, answer)
                : new PlainRun(parts, call, service, answer);
        run.start();
    }
}
