package org.magnoliavane.node.membership;

import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * Describes a VM as the VM list reports it.
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
     * Creates an entry, which must have an id and an address.
     *
     * @param id the VM id
     * @param address the IP address
     * @param zone the availability zone; absent means empty
     * @param state the state; absent means {@code live}
     * @param tags the tags; absent means none
     */
    public Vm {
        if (id == null || address == null) {
            throw new IllegalArgumentException("an entry of the VM list has no id or no address");
        }
        zone = zone == null ? "" : zone;
        state = state == null ? "live" : state;
        tags = tags == null ? Map.of() : Map.copyOf(tags);
    }

    /**
     * Returns whether the VM must not receive new work.
     *
     * @return true if the VM list reports the VM as {@code leaving}
     */
    public boolean isLeaving() {
        return state.equals("leaving");
    }

    /**
     * Finds the port number in a tag.
     *
     * @param tag the name of the tag
     * @return the port, or empty if the tag is absent or not a valid port number
     */
    public Optional<Integer> findPort(String tag) {
        try {
            return Optional.ofNullable(tags.get(tag)).map(Integer::valueOf).filter(p -> p > 0 && p < 65536);
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
