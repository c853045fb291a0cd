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
import org.magnoliavane.emulator.http.Call;
import org.magnoliavane.emulator.http.EmulatorServer;
import org.magnoliavane.emulator.http.Json;
import org.magnoliavane.emulator.http.Refusal;
import org.magnoliavane.emulator.http.Routes;

/**
 * Emulates the VM list, which shows changes with a lag.
 *
 * <p>Thread-safe.
 */
public final class VmListEmulator implements Emulator {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final LaggedList list;
    private final EmulatorServer server;
    private boolean outage;

    private VmListEmulator(VmListOptions options, VmList initial) throws IOException {
        list = new LaggedList(initial, options.getLagMillis());
        Routes routes = new Routes()
                .on("GET", "/v1/vms", this::publish)
                .on("GET", "/control/vms", call -> call.answer(OK, getCurrent()))
                .on("PUT", "/control/vms", this::replaceAll)
                .on("PUT", "/control/vms/{id}", this::replaceOne)
                .on("DELETE", "/control/vms/{id}", this::removeOne)
                .on("POST", "/control", this::control);
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
        list.replace(new VmList(vms), getSteadyMillis());
    }

    /**
     * Gets the list without lag.
     *
     * @return the list
     */
    public synchronized VmList getCurrent() {
        return list.getCurrent();
    }

    private void publish(Call call) {
        Optional<VmList> published = getPublished();
        if (published.isEmpty()) {
            call.refuse(new Refusal(UNAVAILABLE, "outage", "the VM list is down; repeat later"));
            return;
        }
        call.answer(OK, published.get());
    }

    private synchronized Optional<VmList> getPublished() {
        return outage ? Optional.empty() : Optional.of(list.getPublished(getSteadyMillis()));
    }

    private void replaceAll(Call call) throws IOException {
        VmList next = call.parse(VmList.class);
        edit(vms -> next.vms());
        call.answer(OK, getCurrent());
    }

    private void replaceOne(Call call) throws IOException {
        String id = call.getPathValue("id");
        Vm vm = call.parse(Vm.class).withId(id);
        edit(vms -> {
            List<Vm> next = new ArrayList<>(without(vms, id));
            next.add(vm);
            return next;
        });
        call.answer(OK, getCurrent());
    }

    private void removeOne(Call call) {
        edit(vms -> without(vms, call.getPathValue("id")));
        call.answer(OK, getCurrent());
    }

    private synchronized void edit(UnaryOperator<List<Vm>> change) {
        replace(change.apply(list.getCurrent().vms()));
    }

    private static List<Vm> without(List<Vm> vms, String id) {
        return vms.stream().filter(vm -> !vm.id().equals(id)).toList();
    }

    private void control(Call call) throws IOException {
        VmListFaults faults = call.parseStrictly(VmListFaults.class);
        synchronized (this) {
            Optional.ofNullable(faults.lagMillis()).ifPresent(list::setLagMillis);
            outage = Optional.ofNullable(faults.outage()).orElse(outage);
        }
        if (Boolean.TRUE.equals(faults.silent())) {
            call.silenceOtherConnections();
        }
        call.answer(OK, faults);
    }

    private static long getSteadyMillis() {
        return System.nanoTime() / 1_000_000;
    }

    /** Body of {@code POST /control}; an absent value leaves the setting as it is. */
    private record VmListFaults(Long lagMillis, Boolean outage, Boolean silent) {}
}
