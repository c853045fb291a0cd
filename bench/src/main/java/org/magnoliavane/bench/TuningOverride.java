package org.magnoliavane.bench;

import java.lang.reflect.Constructor;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.Map;

import org.magnoliavane.pool.SchedulerTuning;

/**
 * Replaces single tuning values by name, for experiments.
 */
final class TuningOverride {
    private TuningOverride() {}

    /** Returns a copy with the named values replaced. */
    static SchedulerTuning apply(SchedulerTuning tuning, Map<String, String> values) {
        RecordComponent[] parts = SchedulerTuning.class.getRecordComponents();
        for (String name : values.keySet()) {
            if (Arrays.stream(parts).noneMatch(each -> each.getName().equals(name))) {
                throw new IllegalArgumentException("--tune " + name + " is unknown; use one of "
                        + Arrays.stream(parts).map(RecordComponent::getName).toList());
            }
        }
        Object[] arguments = Arrays.stream(parts)
                .map(each -> resolveValue(tuning, each, values.get(each.getName())))
                .toArray();
        Class<?>[] types = Arrays.stream(parts).map(RecordComponent::getType).toArray(Class<?>[]::new);
        try {
            Constructor<SchedulerTuning> constructor = SchedulerTuning.class.getConstructor(types);
            return constructor.newInstance(arguments);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Object resolveValue(SchedulerTuning tuning, RecordComponent part, String text) {
        if (text != null) {
            return part.getType() == long.class ? (Object) Long.valueOf(text) : (Object) Double.valueOf(text);
        }
        try {
            return part.getAccessor().invoke(tuning);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }
}
