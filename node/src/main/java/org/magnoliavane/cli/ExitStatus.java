package org.magnoliavane.cli;

/**
 * Exit statuses of the commands.
 */
final class ExitStatus {
    /** The command succeeded. */
    static final int OK = 0;

    /** The command failed, or the publication was rejected. */
    static final int FAILED = 1;

    /** The command line, the settings or the configuration is invalid; nothing was changed. */
    static final int USAGE = 2;

    /** The log service, the VM list or the nodes could not be reached. */
    static final int UNREACHABLE = 3;

    /** Another publication on the same base version was accepted first. */
    static final int CONFLICT = 4;

    private ExitStatus() {}
}
