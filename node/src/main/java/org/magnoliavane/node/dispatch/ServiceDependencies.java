package org.magnoliavane.node.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.magnoliavane.BackendServer;
import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.config.Configuration;
import org.magnoliavane.config.Service;
import org.magnoliavane.config.ServiceKind;
import org.magnoliavane.membership.ClusterView;

/**
 * Finds out whether the services that a service depends on can answer.
 */
public final class ServiceDependencies {
    private static final long RETRY_AFTER_MILLIS = 2000;

    private ServiceDependencies() {}

    /**
     * Checks the dependencies of a service, and theirs in turn.
     *
     * @param service the service
     * @param configuration the configuration in force
     * @param view the backend servers
     * @return the fault of a request for the service, or empty when every dependency can answer
     */
    public static Optional<Fault> findFault(Service service, Configuration configuration, ClusterView view) {
        Set<String> seen = new HashSet<>(Set.of(service.name()));
        Deque<String> open = new ArrayDeque<>(service.dependsOn());
        while (!open.isEmpty()) {
            String name = open.remove();
            if (!seen.add(name)) {
                continue;
            }
            Service dependency = configuration.services().get(name);
            if (dependency == null || !canAnswer(dependency, configuration, view)) {
                return Optional.of(toFault(service.name(), name));
            }
            open.addAll(dependency.dependsOn());
        }
        return Optional.empty();
    }

    /**
     * Finds the backend servers that may get new work.
     *
     * @param service the name of the service
     * @param role the role
     * @param configuration the configuration in force, which may drain servers
     * @param view the backend servers
     * @return the servers; empty when there are none
     */
    public static List<BackendServer> findAvailable(
            String service, WorkerRole role, Configuration configuration, ClusterView view) {
        return view.getAvailableServers(service, role).stream()
                .filter(s -> !configuration.drainedWorkers().contains(s.id()))
                .toList();
    }

    private static boolean canAnswer(Service service, Configuration configuration, ClusterView view) {
        if (service.kind() == ServiceKind.PLAIN) {
            return !findAvailable(service.name(), WorkerRole.PLAIN, configuration, view)
                    .isEmpty();
        }
        return !findAvailable(service.name(), WorkerRole.PREFILL, configuration, view)
                        .isEmpty()
                && !findAvailable(service.name(), WorkerRole.DECODE, configuration, view)
                        .isEmpty();
    }

    private static Fault toFault(String service, String dependency) {
        return Fault.notRun(
                        FaultKind.DEPENDENCY_UNAVAILABLE,
                        "service " + service + " depends on " + dependency + ", which has no available backend server",
                        "repeat the request later; operators: bring up a backend server of " + dependency)
                .withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }
}
