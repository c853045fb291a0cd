package org.magnoliavane.node.membership;

import java.util.List;
import java.util.concurrent.CompletionStage;

/**
 * Reads the VM list.
 */
@FunctionalInterface
public interface VmList {

    /**
     * Reads the list.
     *
     * @return the entries; fails when the VM list cannot be reached or its answer cannot be read
     */
    CompletionStage<List<Vm>> fetch();
}
