package org.magnoliavane.node.http;

import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;

/**
 * Holds a fault together with the field of the request that caused it.
 *
 * @param fault the fault
 * @param param the name of the field; empty when no single field caused the fault
 */
record ParamFault(Fault fault, String param) {

    static ParamFault of(Fault fault) {
        return new ParamFault(fault, "");
    }

    static ParamFault invalid(String param, String message, String remedy) {
        return new ParamFault(Fault.notRun(FaultKind.INVALID_REQUEST, message, remedy), param);
    }
}
