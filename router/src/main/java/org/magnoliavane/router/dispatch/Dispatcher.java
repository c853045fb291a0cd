package org.magnoliavane.router.dispatch;

import org.magnoliavane.routing.RequestKind;

/**
 * Starts the execution of each request.
 *
 * <p>Thread-safe.
 */
public final class Dispatcher {
    private final DispatchContext context;

    /**
     * Creates a dispatcher.
     *
     * @param context the dependencies of the executions
     */
    public Dispatcher(DispatchContext context) {
        this.context = context;
    }

    /**
     * Starts the execution of a request.
     *
     * @param request the request
     * @param response receives the response
     */
    public void dispatch(CallerRequest request, CallerResponse response) {
        String service = request.route().pickService(context.random().getAsDouble());
        RequestExecution execution = request.route().kind() == RequestKind.STREAM
                ? new StreamExecution(context, request, service, response)
                : new PlainExecution(context, request, service, response);
        execution.start();
    }

    /**
     * Finds out what would happen to a request for one of the services of its route. Nothing is sent or changed.
     *
     * @param request the request
     * @param service the name of the service
     * @return the choice that would be made now
     */
    public ChoicePreview preview(CallerRequest request, String service) {
        return new RequestPreviewer(context).preview(request, service);
    }

    /** Answers all requests that have no response yet, because the process is about to end. Streams that have started go on. */
    public void answerAll() {
        context.poisonGuard().forEachActive(RequestExecution::answerBeforeExit);
    }
}
