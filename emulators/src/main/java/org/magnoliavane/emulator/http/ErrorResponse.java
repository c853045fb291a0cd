package org.magnoliavane.emulator.http;

/**
 * Describes the error response to a rejected request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status the HTTP status code
 * @param kind the kind of the error
 * @param message what is wrong and, where it helps, what to do
 */
public record ErrorResponse(int status, String kind, String message) {
    private static final int BAD_REQUEST = 400;

    /**
     * Creates the response to a malformed request.
     *
     * @param message what is wrong
     * @return the response with status 400
     */
    public static ErrorResponse badRequest(String message) {
        return new ErrorResponse(BAD_REQUEST, "bad_request", message);
    }

    /**
     * Creates the body that is sent.
     *
     * @return the body
     */
    public Body toBody() {
        return new Body(new Detail(kind, message));
    }

    /**
     * Body of an error response.
     *
     * @param error the error
     */
    public record Body(Detail error) {}

    /**
     * Error in the body of an error response.
     *
     * @param kind the kind of the error
     * @param message what is wrong
     */
    public record Detail(String kind, String message) {}
}
