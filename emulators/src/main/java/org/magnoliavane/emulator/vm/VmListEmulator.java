package org.magnoliavane.emulator.vm;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;

import org.magnoliavane.emulator.CommandOptions;
import org.magnoliavane.emulator.Emulator;
import org.magnoliavane.emulator.http.EmulatorServer;
import org.magnoliavane.emulator.http.ErrorResponse;
import org.magnoliavane.emulator.http.Json;
import org.magnoliavane.emulator.http.Routes;
import org.magnoliavane.emulator.http.ServerExchange;

/**
 * Emulates the VM list, which publishes changes with a lag.
 *
 * <p>Thread-safe.
 */
public final class VmListEmulator implements Emulator {
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final DelayedVmList list;
    private final EmulatorServer server;
    private boolean outage;

    private VmListEmulator(VmListOptions options, VmList initial) throws IOException {
        list = new DelayedVmList(initial, options.getLagMillis());
        Routes routes = new Routes()
                .add("GET", "/v1/vms", this::sendPublished)
                .add("GET", "/control/vms", exchange -> exchange.send(OK, getCurrent()))
                .add("PUT", "/control/vms", this::replaceAll)
                .add("PUT", "/control/vms/{id}", this::replaceOne)
                .add("DELETE", "/control/vms/{id}", this::removeOne)
                .add("POST", "/control", this::applyFaults);
        server = EmulatorServer.start("vm-list-emulator", options.getHost(), options.getPort(), routes);
    }

    /**
     * Starts the emulator.
     *
     * @param options the options
     * @return the emulator
     * @throws IOException when the address cannot be bound or the file cannot be read
     */
    public static VmListEmulator start(VmListOptions options) throws IOException {
        VmList initial = options.getFile() == null
                ? new VmList(List.of())
                : Json.parse(Files.readAllBytes(Path.of(options.getFile())), VmList.class);
        return new VmListEmulator(options, initial);
    }

    /**
     * Starts the emulator.
     *
     * @param arguments the options as on the command line
     * @return the emulator
     * @throws IOException when the address cannot be bound or the file cannot be read
     */
    public static VmListEmulator start(String... arguments) throws IOException {
        return start(CommandOptions.parse(new VmListOptions(), arguments));
    }

    @Override
    public int getPort() {
        return server.getPort();
    }

    @Override
    public void close() {
        server.close();
    }

    /**
     * Replaces the whole list. The new list is published after the lag.
     *
     * @param vms the new list
     */
    public synchronized void replace(List<Vm> vms) {
        list.replace(new VmList(vms), getMonotonicMillis());
    }

    /**
     * Gets the most recent list, without the lag.
     *
     * @return the list
     */
    public synchronized VmList getCurrent() {
        return list.getCurrent();
    }

    private void sendPublished(ServerExchange exchange) {
        Optional<VmList> published = getPublished();
        if (published.isEmpty()) {
            exchange.sendError(new ErrorResponse(SERVICE_UNAVAILABLE, "outage", "the VM list is down; retry later"));
            return;
        }
        exchange.send(OK, published.get());
    }

    private synchronized Optional<VmList> getPublished() {
        return outage ? Optional.empty() : Optional.of(list.getPublished(getMonotonicMillis()));
    }

    private void replaceAll(ServerExchange exchange) throws IOException {
        VmList updated = exchange.parseBody(VmList.class);
        update(vms -> updated.vms());
        exchange.send(OK, getCurrent());
    }

    private void replaceOne(ServerExchange exchange) throws IOException {
        String id = exchange.getPathValue("id");
        Vm vm = exchange.parseBody(Vm.class).withId(id);
        update(vms -> {
            List<Vm> updated = new ArrayList<>(without(vms, id));
            updated.add(vm);
            return updated;
        });
        exchange.send(OK, getCurrent());
    }

    private void removeOne(ServerExchange exchange) {
        update(vms -> without(vms, exchange.getPathValue("id")));
        exchange.send(OK, getCurrent());
    }

    private synchronized void update(UnaryOperator<List<Vm>> change) {
        replace(change.apply(list.getCurrent().vms()));
    }

    private static List<Vm> without(List<Vm> vms, String id) {
        return vms.stream().filter(vm -> !vm.id().equals(id)).toList();
    }

    private void applyFaults(ServerExchange exchange) throws IOException {
        VmListFaults faults = exchange.parseBodyStrictly(VmListFaults.class);
        synchronized (this) {
            Optional.ofNullable(faults.lagMillis()).ifPresent(list::setLagMillis);
            outage = Optional.ofNullable(faults.outage()).orElse(outage);
        }
        if (Boolean.TRUE.equals(faults.silent())) {
            exchange.makeOtherConnectionsUnresponsive();
        }
        exchange.send(OK, faults);
    }

    private static long getMonotonicMillis() {
        return System.nanoTime() / 1_000_000;
    }

    /** Body of {@code POST /control}; an absent value leaves the setting unchanged. */
    private record VmListFaults(Long lagMillis, Boolean outage, Boolean silent) {}
}
