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
 * Emulates the VM list, which shows changes with a lag.
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
                .add("GET", "/control/vms", call -> call.send(OK, getCurrent()))
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
     * Replaces the whole list; readers see it after the lag.
     *
     * @param vms the new list
     */
    public synchronized void replace(List<Vm> vms) {
        list.replace(new VmList(vms), getMonotonicMillis());
    }

    /**
     * Gets the list without lag.
     *
     * @return the list
     */
    public synchronized VmList getCurrent() {
        return list.getCurrent();
    }

    private void sendPublished(ServerExchange call) {
        Optional<VmList> published = getPublished();
        if (published.isEmpty()) {
            call.sendError(new ErrorResponse(SERVICE_UNAVAILABLE, "outage", "the VM list is down; repeat later"));
            return;
        }
        call.send(OK, published.get());
    }

    private synchronized Optional<VmList> getPublished() {
        return outage ? Optional.empty() : Optional.of(list.getPublished(getMonotonicMillis()));
    }

    private void replaceAll(ServerExchange call) throws IOException {
        VmList next = call.parseBody(VmList.class);
        update(vms -> next.vms());
        call.send(OK, getCurrent());
    }

    private void replaceOne(ServerExchange call) throws IOException {
        String id = call.getPathValue("id");
        Vm vm = call.parseBody(Vm.class).withId(id);
        update(vms -> {
            List<Vm> next = new ArrayList<>(without(vms, id));
            next.add(vm);
            return next;
        });
        call.send(OK, getCurrent());
    }

    private void removeOne(ServerExchange call) {
        update(vms -> without(vms, call.getPathValue("id")));
        call.send(OK, getCurrent());
    }

    private synchronized void update(UnaryOperator<List<Vm>> change) {
        replace(change.apply(list.getCurrent().vms()));
    }

    private static List<Vm> without(List<Vm> vms, String id) {
        return vms.stream().filter(vm -> !vm.id().equals(id)).toList();
    }

    private void applyFaults(ServerExchange call) throws IOException {
        VmListFaults faults = call.parseBodyStrictly(VmListFaults.class);
        synchronized (this) {
            Optional.ofNullable(faults.lagMillis()).ifPresent(list::setLagMillis);
            outage = Optional.ofNullable(faults.outage()).orElse(outage);
        }
        if (Boolean.TRUE.equals(faults.silent())) {
            call.makeOtherConnectionsUnresponsive();
        }
        call.send(OK, faults);
    }

    private static long getMonotonicMillis() {
        return System.nanoTime() / 1_000_000;
    }

    /** Body of {@code POST /control}; an absent value leaves the setting as it is. */
    private record VmListFaults(Long lagMillis, Boolean outage, Boolean silent) {}
}
