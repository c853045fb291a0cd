package org.magnoliavane.emulator.vm;

import java.util.Map;

/**
 * Describes a VM of the VM list.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id
 * @param address the IP address
 * @param zone the availability zone
 * @param state {@code live} or {@code leaving}
 * @param tags the tags
 */
public record Vm(String id, String address, String zone, String state, Map<String, String> tags) {

    /**
     * Creates a VM. An absent state means {@code live}, and absent tags mean none.
     *
     * @param id the id
     * @param address the IP address
     * @param zone the availability zone
     * @param state {@code live} or {@code leaving}
     * @param tags the tags
     */
    public Vm {
        state = state == null ? "live" : state;
        tags = tags == null ? Map.of() : Map.copyOf(tags);
        if (!state.equals("live") && !state.equals("leaving")) {
            throw new IllegalArgumentException("state must be live or leaving, got " + state);
        }
    }

    Vm withId(String other) {
        return new Vm(other, address, zone, state, tags);
    }
}
