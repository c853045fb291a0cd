package org.magnoliavane.config;

/**
 * Describes one route of a plain service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param method the HTTP method
 * @param path the path; a trailing {@code /*} matches every path below it
 * @param idempotent true when a request may be repeated safely
 * @param timeoutMillis the time within which a backend server must respond, in milliseconds
 */
public record Route(String method, String path, boolean idempotent, long timeoutMillis) {

    /**
     * Returns whether a request matches this route.
     *
     * @param requestMethod the method of the request
     * @param requestPath the path of the request, without its query
     * @return true when method and path match
     */
    public boolean matches(String requestMethod, String requestPath) {
        if (!method.equals(requestMethod)) {
            return false;
        }
        if (!path.endsWith("/*")) {
            return path.equals(requestPath);
        }
        return requestPath.startsWith(path.substring(0, path.length() - 1));
    }
}
