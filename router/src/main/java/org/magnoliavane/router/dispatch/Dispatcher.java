package org.magnoliavane.router.dispatch;

import org.magnoliavane.routing.RequestKind;

/**
 * Starts the run of each request.
 *
 * <p>Thread-safe.
 */
public final class Dispatcher {
    private final DispatchParts context;

    /**
     * Creates a dispatcher.
     *
     * @param parts what the runs use
     */
    public Dispatcher(DispatchParts parts) {
        this.context = parts;
    }

    /**
     * Starts to work on a request.
     *
     * @param call the request
     * @param answer takes its answer
     */
    public void dispatch(CallerCall call, CallerAnswer answer) {
        String service = call.route().pickService(context.random().getAsDouble());
        RequestExecution run = call.route().kind() == RequestKind.STREAM
                ? new StreamExecution(context, call, service, answer)
                : new PlainExecution(context, call, service, answer);
        run.start();
    }
}
