package org.magnoliavane.cli;

/** Thrown to end a command with a report. */
final class CommandException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Report report;

    CommandException(Report report) {
        super(report.text());
        this.report = report;
    }

    Report getReport() {
        return report;
    }
}
