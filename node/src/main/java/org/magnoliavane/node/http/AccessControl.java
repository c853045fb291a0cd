package org.magnoliavane.node.http;

import java.util.Optional;

import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.config.Caller;

/** Determines which services a caller may use. */
final class AccessControl {
    private AccessControl() {}

    static boolean isAllowed(Caller caller, String service) {
        return caller.services().isEmpty() || caller.services().contains(service);
    }

    static Optional<Fault> findFault(Caller caller, String service) {
        if (isAllowed(caller, service)) {
            return Optional.empty();
        }
        return Optional.of(Fault.notRun(
                FaultKind.FORBIDDEN,
                "caller " + caller.name() + " may not use service " + service,
                "ask the operators to add " + service + " to the services of the caller"));
    }
}
