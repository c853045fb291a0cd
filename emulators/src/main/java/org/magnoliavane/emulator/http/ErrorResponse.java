package org.magnoliavane.emulator.http;

/**
 * Describes why an emulator refuses a request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status the HTTP status code
 * @param kind the kind of the error
 * @param message what is wrong and what to do
 */
public record ErrorResponse(int status, String kind, String message) {
    private static final int BAD_REQUEST = 400;

    /**
     * Creates the refusal of a malformed request.
     *
     * @param message what is wrong
     * @return the refusal
     */
    public static ErrorResponse badRequest(String message) {
        return new ErrorResponse(BAD_REQUEST, "bad_request", message);
    }

    /**
     * Gets the body that is sent.
     *
     * @return the body
     */
    public Body toBody() {
        return new Body(new Detail(kind, message));
    }

    /**
     * Body of an error answer.
     *
     * @param error the error
     */
    public record Body(Detail error) {}

    /**
     * Error in an error answer.
     *
     * @param kind the kind of the error
     * @param message what is wrong
     */
    public record Detail(String kind, String message) {}
}
