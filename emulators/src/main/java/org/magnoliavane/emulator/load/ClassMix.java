package org.magnoliavane.emulator.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import com.beust.jcommander.ParameterException;

/** Chooses classes by weight. */
record ClassMix(List<WeightedClass> shares) {

    static ClassMix parse(List<String> texts) {
        List<WeightedClass> shares = new ArrayList<>();
        for (String text : texts) {
            String[] parts = text.split("=");
            if (parts.length != 2 || !parts[1].matches("\\d+(\\.\\d+)?")) {
                throw new ParameterException("--classes must be NAME=WEIGHT, got " + text);
            }
            shares.add(new WeightedClass(parts[0], Double.parseDouble(parts[1])));
        }
        return new ClassMix(List.copyOf(shares));
    }

    /** Chooses a class; empty text when there are none. */
    String choose(SplittableRandom random) {
        double left = random.nextDouble()
                * shares.stream().mapToDouble(WeightedClass::weight).sum();
        for (WeightedClass share : shares) {
            left -= share.weight;
            if (left < 0) {
                return share.name;
            }
        }
        return shares.isEmpty() ? "" : shares.get(shares.size() - 1).name;
    }

    /** Class and its weight. */
    record WeightedClass(String name, double weight) {}
}
