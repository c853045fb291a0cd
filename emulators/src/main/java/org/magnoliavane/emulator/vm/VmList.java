package org.magnoliavane.emulator.vm;

import java.util.List;

/**
 * Holds the list as it is sent and received.
 *
 * @param vms the VMs
 */
public record VmList(List<Vm> vms) {

    /**
     * Copies the list.
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
