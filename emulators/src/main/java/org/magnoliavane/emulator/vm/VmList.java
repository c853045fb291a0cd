package org.magnoliavane.emulator.vm;

import java.util.List;

/**
 * Holds the VM list in the form in which it is sent and received.
 *
 * <p>Immutable and thread-safe.
 *
 * @param vms the VMs
 */
public record VmList(List<Vm> vms) {

    /**
     * Creates a list from a copy of the VMs.
     *
     * @param vms the VMs
     */
    public VmList {
        if (vms == null) {
            throw new IllegalArgumentException("vms is missing; send {\"vms\":[...]}");
        }
        vms = List.copyOf(vms);
    }
}
