package org.magnoliavane.emulator.vm;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Keeps past versions of the VM list, so that changes are published with a lag.
 *
 * <p>Not thread-safe.
 */
final class DelayedVmList {
    private final Deque<Version> versions = new ArrayDeque<>();
    private long lagMillis;

    DelayedVmList(VmList initial, long lagMillis) {
        this.lagMillis = lagMillis;
        versions.addLast(new Version(Long.MIN_VALUE, initial));
    }

    void setLagMillis(long value) {
        lagMillis = value;
    }

    void replace(VmList list, long nowMillis) {
        versions.addLast(new Version(nowMillis, list));
    }

    VmList getCurrent() {
        return versions.peekLast().list;
    }

    /** Gets the list as it was one lag ago and removes the versions before it. */
    VmList getPublished(long nowMillis) {
        long until = nowMillis - lagMillis;
        VmList found = versions.peekFirst().list;
        int outdated = -1;
        Iterator<Version> all = versions.iterator();
        for (Version version = all.next(); version.sinceMillis <= until; version = all.next()) {
            found = version.list;
            outdated++;
            if (!all.hasNext()) {
                break;
            }
        }
        for (int i = 0; i < outdated; i++) {
            versions.removeFirst();
        }
        return found;
    }

    private record Version(long sinceMillis, VmList list) {}
}
