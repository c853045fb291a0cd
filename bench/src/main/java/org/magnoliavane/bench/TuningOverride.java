package org.magnoliavane.bench;

import java.lang.reflect.Constructor;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.Map;

import org.magnoliavane.pool.SchedulerTuning;

/**
 * Overrides tuning values of the scheduler by the names of their record components. Thread-safe.
 */
final class TuningOverride {
    private TuningOverride() {}

    /**
     * Returns a copy of a tuning with some values replaced.
     *
     * @param tuning the tuning
     * @param values the new values by the name of the record component
     * @return the copy
     * @throws IllegalArgumentException when a name is unknown or a value is not a number
     */
    static SchedulerTuning apply(SchedulerTuning tuning, Map<String, String> values) {
        RecordComponent[] components = SchedulerTuning.class.getRecordComponents();
        for (String name : values.keySet()) {
            if (Arrays.stream(components).noneMatch(each -> each.getName().equals(name))) {
                throw new IllegalArgumentException("--tune " + name + " is unknown; use one of "
                        + Arrays.stream(components)
                                .map(RecordComponent::getName)
                                .toList());
            }
        }
        Object[] arguments = Arrays.stream(components)
                .map(each -> resolveValue(tuning, each, values.get(each.getName())))
                .toArray();
        Class<?>[] types =
                Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        try {
            Constructor<SchedulerTuning> constructor = SchedulerTuning.class.getConstructor(types);
            return constructor.newInstance(arguments);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Object resolveValue(SchedulerTuning tuning, RecordComponent component, String text) {
        if (text != null) {
            return component.getType() == long.class ? (Object) Long.valueOf(text) : (Object) Double.valueOf(text);
        }
        try {
            return component.getAccessor().invoke(tuning);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }
}
