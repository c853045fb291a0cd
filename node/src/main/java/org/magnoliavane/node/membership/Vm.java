package org.magnoliavane.node.membership;

import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * Holds one entry of the VM list.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the VM id
 * @param address the IP address
 * @param zone the availability zone
 * @param state {@code live} or {@code leaving}
 * @param tags the tags
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record Vm(String id, String address, String zone, String state, Map<String, String> tags) {

    /**
     * Checks that the entry has an id and an address.
     *
     * @param id the VM id
     * @param address the IP address
     * @param zone the availability zone; absent means empty
     * @param state the state; absent means {@code live}
     * @param tags the tags; absent means none
     */
    public Vm {
        if (id == null || address == null) {
            throw new IllegalArgumentException("a VM list entry lacks id or address");
        }
        zone = zone == null ? "" : zone;
        state = state == null ? "live" : state;
        tags = tags == null ? Map.of() : Map.copyOf(tags);
    }

    /**
     * Says whether the VM must get no new work.
     *
     * @return true when the VM list says that it leaves
     */
    public boolean isLeaving() {
        return state.equals("leaving");
    }

    /**
     * Finds a port tag.
     *
     * @param tag the tag
     * @return the port, or empty when the tag is absent or no port number
     */
    public Optional<Integer> findPort(String tag) {
        try {
            return Optional.ofNullable(tags.get(tag)).map(Integer::valueOf).filter(p -> p > 0 && p < 65536);
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
