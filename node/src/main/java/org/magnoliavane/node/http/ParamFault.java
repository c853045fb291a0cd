package org.magnoliavane.node.http;

import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;

/**
 * Holds a fault with the field of the request at fault.
 *
 * @param fault the fault
 * @param param the field; empty when there is none
 */
record ParamFault(Fault fault, String param) {

    static ParamFault of(Fault fault) {
        return new ParamFault(fault, "");
    }

    static ParamFault invalid(String param, String message, String remedy) {
        return new ParamFault(Fault.notRun(FaultKind.INVALID_REQUEST, message, remedy), param);
    }
}
