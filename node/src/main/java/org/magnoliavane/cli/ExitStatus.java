package org.magnoliavane.cli;

/**
 * Exit statuses of all commands.
 */
final class ExitStatus {
    /** The command did what it was asked to do. */
    static final int OK = 0;

    /** The command failed, or the publication was rejected. */
    static final int FAILED = 1;

    /** The command line, the settings or the text is wrong; nothing was done. */
    static final int USAGE = 2;

    /** The log service, the VM list or the nodes could not be reached. */
    static final int UNREACHABLE = 3;

    /** Another publication came first. */
    static final int CONFLICT = 4;

    private ExitStatus() {}
}
