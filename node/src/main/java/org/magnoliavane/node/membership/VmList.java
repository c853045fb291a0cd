package org.magnoliavane.node.membership;

import java.util.List;
import java.util.concurrent.CompletionStage;

/**
 * Source of the VM list.
 */
@FunctionalInterface
public interface VmList {

    /**
     * Fetches the current list.
     *
     * @return the entries; fails if the VM list is unreachable or its response cannot be parsed
     */
    CompletionStage<List<Vm>> fetch();
}
